//! Discovery of a large list: a whole to who has nothing, what has changed to all others.

use laurelroute_testkit::catalogue::{Catalogue, Listed};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

fn listed(k: usize, health: &'static str) -> Listed {
    let http = ([127, 0, 0, 1], 80).into();
    Listed { name: format!("s{k}"), service: "a".into(), http, health, born_ms: 0, share: 1.0 }
}

struct Watch(BufReader<TcpStream>);

impl Watch {
    fn open(catalogue: &Catalogue, path: &str) -> Watch {
        let mut stream = TcpStream::connect(catalogue.address).unwrap();
        stream.set_read_timeout(Some(laurelroute_testkit::PATIENCE)).unwrap();
        write!(stream, "GET /discovery/hosts?follow=1{path} HTTP/1.1\r\nHost: d\r\n\r\n").unwrap();
        Watch(BufReader::new(stream))
    }

    /// The next list: its version, whether it is whole, and its names.
    fn next(&mut self) -> (u64, bool, Vec<String>) {
        let mut line = String::new();
        while !line.starts_with('{') {
            line.clear();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the watch has ended");
        }
        let list: serde_json::Value = serde_json::from_str(&line).unwrap();
        let names = list["hosts"].as_array().unwrap().iter();
        let names =
            names.map(|h| format!("{}:{}", h["host"].as_str().unwrap(), h["health"].as_str().unwrap()));
        (list["seq"].as_u64().unwrap(), list["whole"].as_bool().unwrap(), names.collect())
    }
}

#[test]
fn who_has_a_version_gets_what_has_changed_since_and_all_others_the_whole() {
    let catalogue = Catalogue::start((0..3).map(|k| listed(k, "active")));
    let mut first = Watch::open(&catalogue, "");
    let all = ["s0:active", "s1:active", "s2:active"].map(String::from);
    assert_eq!(first.next(), (1, true, all.to_vec()));
    assert_eq!(catalogue.push(&[listed(1, "leaving")]), 2);
    assert_eq!(first.next(), (2, false, vec!["s1:leaving".into()]));
    assert_eq!(catalogue.push(&[listed(3, "active"), listed(1, "left")]), 3);
    let new = vec!["s3:active".to_owned(), "s1:left".into()];
    assert_eq!(first.next(), (3, false, new.clone()));
    // One that comes back, and one that has a version which never was.
    let mut back = Watch::open(&catalogue, "&since=1");
    assert_eq!(back.next(), (2, false, vec!["s1:leaving".into()]));
    assert_eq!(back.next(), (3, false, new));
    let whole = ["s0:active", "s1:left", "s2:active", "s3:active"].map(String::from);
    assert_eq!(Watch::open(&catalogue, "&since=9").next(), (3, true, whole.to_vec()));
    assert_eq!(catalogue.wholes(), 2);
}
