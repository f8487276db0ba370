//! The operator's table: what a call means. Pure.

use crate::codec::header::Header;
use crate::codec::message::Message;
use crate::codec::path::{find, FieldPath, PathError, Value};
use std::collections::HashMap;
use std::rc::Rc;
use std::str::FromStr;

/// Bytes of a request's id, tenant or route key at most.
const MOST_FACT: usize = 128;

/// Where a fact about a call stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A key-value header of THeader.
    Header(String),
    /// A field of the arguments.
    Field(FieldPath),
}

impl Source {
    fn path(&self) -> Option<&FieldPath> {
        match self {
            Source::Field(path) => Some(path),
            Source::Header(_) => None,
        }
    }
}

/// Why a text names no source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// It is neither.
    #[error("`{0}` is neither `header:NAME` nor `field:PATH`")]
    Kind(String),
    /// Its path is none.
    #[error("{0}")]
    Path(#[from] PathError),
}

impl FromStr for Source {
    type Err = SourceError;

    fn from_str(text: &str) -> Result<Self, SourceError> {
        match text.split_once(':') {
            Some(("header", name)) if !name.trim().is_empty() => Ok(Source::Header(name.trim().to_owned())),
            Some(("field", path)) => Ok(Source::Field(path.trim().parse()?)),
            _ => Err(SourceError::Kind(text.to_owned())),
        }
    }
}

/// Where the facts about a method's calls stand; the first source that a call has counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// How long the client waits, in whole milliseconds.
    pub deadline: Vec<Source>,
    /// The request's identity, new with every request.
    pub request_id: Vec<Source>,
    /// The tenant's name.
    pub tenant: Vec<Source>,
    /// What the request is about.
    pub route_key: Vec<Source>,
}

impl Sources {
    /// These, and the others where these name none.
    pub fn or(self, others: &Sources) -> Sources {
        let or = |own: Vec<Source>, other: &Vec<Source>| if own.is_empty() { other.clone() } else { own };
        Sources {
            deadline: or(self.deadline, &others.deadline),
            request_id: or(self.request_id, &others.request_id),
            tenant: or(self.tenant, &others.tenant),
            route_key: or(self.route_key, &others.route_key),
        }
    }
}

/// What the table says of a method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Method {
    /// Its class, as an index into the settings. The class's effect says how far calls may be repeated.
    pub class: u8,
    /// Where the facts about its calls stand.
    pub sources: Sources,
}

/// What is known of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The request's identity.
    pub request_id: Option<Vec<u8>>,
    /// The tenant's name.
    pub tenant: Option<Vec<u8>>,
    /// What it is about.
    pub route_key: Option<Vec<u8>>,
}

/// A call says something about itself that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadFact {
    /// Its deadline.
    #[error("the deadline is not a number of milliseconds above 0")]
    Deadline,
    /// Its id, tenant or route key.
    #[error("the {0} is empty or over {MOST_FACT} bytes")]
    Length(&'static str),
}

impl Method {
    /// Reads the facts about a call of this method.
    pub fn facts(&self, message: &Message) -> Result<Facts, BadFact> {
        let sources =
            [&self.sources.deadline, &self.sources.request_id, &self.sources.tenant, &self.sources.route_key];
        // One walk for all of them, and none where nothing stands in the arguments.
        let mut paths: Vec<&FieldPath> = sources.iter().copied().flatten().filter_map(Source::path).collect();
        paths.dedup();
        let values = find(message, &paths);
        let mut read = sources.map(|list| {
            list.iter().find_map(|source| match source {
                Source::Header(name) => {
                    message.header.as_ref()?.get(name).map(|v| Value::Bytes(v.as_bytes().to_vec()))
                }
                Source::Field(path) => values[paths.iter().position(|p| *p == path)?].clone(),
            })
        });
        let deadline_ms = match read[0].take() {
            Some(value) => {
                let ms = value.number().and_then(|ms| u64::try_from(ms).ok()).filter(|ms| *ms > 0);
                Some(ms.ok_or(BadFact::Deadline)?)
            }
            None => None,
        };
        let mut bytes = |k: usize, name| match read[k].take().map(Value::into_bytes) {
            Some(bytes) if bytes.is_empty() || bytes.len() > MOST_FACT => Err(BadFact::Length(name)),
            other => Ok(other),
        };
        Ok(Facts {
            deadline_ms,
            request_id: bytes(1, "request id")?,
            tenant: bytes(2, "tenant")?,
            route_key: bytes(3, "route key")?,
        })
    }

    /// Tells a box in a THeader how long the node will wait, under the name by which the client told it.
    pub fn tell_deadline(&self, header: &mut Header, millis: u64) {
        let name = self.sources.deadline.iter().find_map(|source| match source {
            Source::Header(name) => Some(name.as_str()),
            Source::Field(_) => None,
        });
        header.set(name.unwrap_or("x-timeout-ms"), millis.to_string());
    }
}

/// Methods by their names: `method`, `service:method`, and `service:*` for the rest of a service.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<String, Rc<Method>>);

impl Table {
    /// Adds a method; false where the name is there already.
    pub fn add(&mut self, name: &str, method: Method) -> bool {
        self.0.insert(name.to_owned(), Rc::new(method)).is_none()
    }

    /// What a call of this name means; `None` where the table does not say.
    pub fn method(&self, name: &str) -> Option<&Rc<Method>> {
        let rest = || name.split_once(':').and_then(|(service, _)| self.0.get(&format!("{service}:*")));
        self.0.get(name).or_else(rest)
    }

    /// How many names it holds.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn method(class: u8) -> Method {
        Method { class, sources: Sources::default() }
    }

    #[test]
    fn names_are_found_exactly_then_by_service() {
        let mut table = Table::default();
        assert!(
            table.add("status", method(0)) && table.add("W:status", method(1)) && table.add("W:*", method(2))
        );
        assert!(!table.add("status", method(3)));
        let class = |name: &str| table.method(name).map(|m| m.class);
        assert_eq!(class("W:status"), Some(1));
        assert_eq!(class("W:gauges"), Some(2));
        assert_eq!(class("V:status"), None);
        assert_eq!(class("gauges"), None);
    }

    #[test]
    fn sources_are_read_or_refused() {
        assert_eq!("header: x-id ".parse(), Ok(Source::Header("x-id".into())));
        assert_eq!("field:1.3".parse(), Ok(Source::Field("1.3".parse().unwrap())));
        assert!(matches!("1.3".parse::<Source>(), Err(SourceError::Kind(_))));
        assert!(matches!("header:".parse::<Source>(), Err(SourceError::Kind(_))));
        assert!(matches!("field:0".parse::<Source>(), Err(SourceError::Path(_))));
    }
}
