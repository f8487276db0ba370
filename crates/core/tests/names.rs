//! Lookup of names by hash, with its cost counted in table slots probed.

use laurelroute_core::name_index::NameIndex;

#[test]
fn a_lookup_probes_as_few_slots_among_many_names() {
    for count in [1_000, 380_000usize] {
        let names: NameIndex = (0..count).map(|k| format!("tenant-{k}")).collect();
        assert_eq!((names.len(), names.iter().nth(7)), (count, Some("tenant-7")));
        let mut probes = 0;
        for k in 0..count {
            let name = format!("tenant-{k}");
            assert_eq!(names.find(name.as_bytes()), Some(k as u32));
            probes += names.probes(name.as_bytes());
        }
        assert!(probes <= 2 * count, "{probes} probes for {count} names");
        let unknown = (0..count).map(|k| names.probes(format!("stranger-{k}").as_bytes())).sum::<usize>();
        assert!(unknown <= 4 * count, "{unknown} probes for {count} unknown names");
    }
}

#[test]
fn unusual_names_are_found() {
    let names: NameIndex = ["", "a", "b", "a", "ab"].into_iter().collect();
    assert_eq!([&b""[..], b"a", b"b", b"ab"].map(|n| names.find(n)), [0, 1, 2, 4].map(Some));
    assert_eq!([&b"ba"[..], b"\xff", b"aba"].map(|n| names.find(n)), [None; 3]);
    assert_eq!(names.iter().collect::<Vec<_>>(), ["", "a", "b", "a", "ab"]);
    let empty = NameIndex::default();
    assert!(empty.is_empty() && empty.find(b"").is_none() && empty.probes(b"") == 0);
    assert_eq!(NameIndex::from_iter(["only"]).find(b"only"), Some(0));
    assert_eq!(NameIndex::from_iter(["only"]).find(b"other"), None);
}
