//! Assembles the lists of a watch from its lines.

/// A list is longer than this many bytes.
#[derive(Debug, thiserror::Error)]
#[error("a line of over {0} bytes")]
pub(super) struct LineTooLong(pub(super) usize);

/// Result of one line of a watch.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Line {
    /// An empty line.
    Heartbeat,
    /// The last line of a list, with the complete text of the list.
    Complete(Vec<u8>),
    /// A line of an indented list that continues on the next line.
    Partial,
}

/// Assembles lists from lines. A list may be indented over several lines: it ends with the line in which its last
/// brace closes.
#[derive(Debug)]
pub(super) struct LineAssembler {
    /// Maximum size of a list.
    max_bytes: usize,
    buffer: Vec<u8>,
    depth: i64,
    in_string: bool,
    escaped: bool,
}

impl LineAssembler {
    pub(super) fn new(max_bytes: usize) -> Self {
        LineAssembler { max_bytes, buffer: Vec::new(), depth: 0, in_string: false, escaped: false }
    }

    /// Bytes of the present list so far.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes of the current line.
    pub(super) fn append(&mut self, bytes: &[u8]) -> Result<(), LineTooLong> {
        if self.buffer.len() + bytes.len() > self.max_bytes {
            return Err(LineTooLong(self.max_bytes));
        }
        self.buffer.extend_from_slice(bytes);
        for &byte in bytes {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth -= 1,
                _ => {}
            }
        }
        Ok(())
    }

    /// Appends the rest of the current line and ends the line.
    pub(super) fn end_line(&mut self, bytes: &[u8]) -> Result<Line, LineTooLong> {
        let empty = bytes.trim_ascii().is_empty();
        self.append(bytes)?;
        // JSON strings contain no raw line feeds, and a list contains no empty lines: a list that is open there is
        // corrupt, and parsing it reports that.
        if self.depth > 0 && !self.in_string && !empty {
            self.buffer.push(b'\n');
            return Ok(Line::Partial);
        }
        let list = std::mem::replace(self, LineAssembler::new(self.max_bytes)).buffer;
        Ok(if list.trim_ascii().is_empty() { Line::Heartbeat } else { Line::Complete(list) })
    }
}
