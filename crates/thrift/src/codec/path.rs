//! A value inside a message's arguments, found by the numbers of the fields that lead to it.

use super::message::Message;
use super::walk::Token;
use std::fmt;
use std::str::FromStr;

/// Fields inside one another at most: no service nests a request's own facts deeper.
const MOST_STEPS: usize = 8;

/// Field numbers from the arguments inwards: `1.3` is field 3 of the struct that is argument 1.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FieldPath(Vec<i16>);

/// Why a text is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a path is one to {MOST_STEPS} field numbers from 1 to 32767 with dots between, such as `1.3`")]
pub struct PathError;

impl FromStr for FieldPath {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        let step = |s: &str| s.parse::<i16>().ok().filter(|id| *id > 0).ok_or(PathError);
        let steps = text.split('.').map(step).collect::<Result<Vec<_>, _>>()?;
        if steps.len() > MOST_STEPS {
            return Err(PathError);
        }
        Ok(FieldPath(steps))
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps: Vec<_> = self.0.iter().map(i16::to_string).collect();
        f.write_str(&steps.join("."))
    }
}

/// A simple value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// Any whole number, or a boolean as 0 or 1.
    Number(i64),
    /// Text, bytes or a UUID.
    Bytes(Vec<u8>),
}

impl Value {
    /// The value as bytes: a number in decimal.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Value::Number(number) => number.to_string().into_bytes(),
            Value::Bytes(bytes) => bytes,
        }
    }

    /// The value as a whole number: a text in decimal.
    pub fn number(&self) -> Option<i64> {
        match self {
            Value::Number(number) => Some(*number),
            Value::Bytes(bytes) => std::str::from_utf8(bytes).ok()?.trim().parse().ok(),
        }
    }
}

/// The values at several paths, in one walk. What stands inside a list, set or map has no path.
pub fn find(message: &Message, paths: &[&FieldPath]) -> Vec<Option<Value>> {
    let mut found = vec![None; paths.len()];
    if paths.is_empty() {
        return found;
    }
    let (mut walker, body) = (message.walk(), message.body());
    // The fields that lead here, and how many containers stand around.
    let mut here: Vec<i16> = Vec::new();
    let mut containers = 0u32;
    while let Ok(Some(token)) = walker.next(body) {
        let value = match token {
            Token::StructBegin if containers == 0 => {
                here.push(0);
                continue;
            }
            Token::StructEnd if containers == 0 => {
                here.pop();
                continue;
            }
            Token::Field { id, .. } if containers == 0 => {
                here.pop();
                here.push(id);
                continue;
            }
            Token::ListBegin { .. } | Token::SetBegin { .. } | Token::MapBegin { .. } => {
                containers += 1;
                continue;
            }
            Token::ContainerEnd => {
                containers -= 1;
                continue;
            }
            _ if containers > 0 => continue,
            Token::Bool(value) => Value::Number(value.into()),
            Token::Byte(value) => Value::Number(value.into()),
            Token::I16(value) => Value::Number(value.into()),
            Token::I32(value) => Value::Number(value.into()),
            Token::I64(value) => Value::Number(value),
            Token::Binary(bytes) => Value::Bytes(bytes.to_vec()),
            Token::Uuid(bytes) => Value::Bytes(bytes.to_vec()),
            _ => continue,
        };
        if let Some(k) = paths.iter().position(|p| p.0 == here) {
            found[k] = Some(value);
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_read_or_refused() {
        assert_eq!("1.3".parse(), Ok(FieldPath(vec![1, 3])));
        assert_eq!("1.3".parse::<FieldPath>().unwrap().to_string(), "1.3");
        for bad in ["", ".", "1.", "0", "-1", "a", "1.40000", "1.1.1.1.1.1.1.1.1"] {
            assert_eq!(bad.parse::<FieldPath>(), Err(PathError), "{bad}");
        }
    }
}
