//! Names are found by their hash: what it costs is counted in looks at names.

use laurelroute_core::name_index::NameIndex;

#[test]
fn a_name_is_found_in_as_few_looks_among_many() {
    for count in [1_000, 380_000usize] {
        let names: NameIndex = (0..count).map(|k| format!("tenant-{k}")).collect();
        assert_eq!((names.len(), names.iter().nth(7)), (count, Some("tenant-7")));
        let mut looks = 0;
        for k in 0..count {
            let name = format!("tenant-{k}");
            assert_eq!(names.find(name.as_bytes()), Some(k as u32));
            looks += names.probes(name.as_bytes());
        }
        assert!(looks <= 2 * count, "{looks} looks for {count} names");
        let strangers = (0..count).map(|k| names.probes(format!("stranger-{k}").as_bytes())).sum::<usize>();
        assert!(strangers <= 4 * count, "{strangers} looks for {count} strangers");
    }
}

#[test]
fn odd_names_are_found_as_they_are() {
    let names: NameIndex = ["", "a", "b", "a", "ab"].into_iter().collect();
    assert_eq!([&b""[..], b"a", b"b", b"ab"].map(|n| names.find(n)), [0, 1, 2, 4].map(Some));
    assert_eq!([&b"ba"[..], b"\xff", b"aba"].map(|n| names.find(n)), [None; 3]);
    assert_eq!(names.iter().collect::<Vec<_>>(), ["", "a", "b", "a", "ab"]);
    let nobody = NameIndex::default();
    assert!(nobody.is_empty() && nobody.find(b"").is_none() && nobody.probes(b"") == 0);
    assert_eq!(NameIndex::from_iter(["only"]).find(b"only"), Some(0));
    assert_eq!(NameIndex::from_iter(["only"]).find(b"other"), None);
}
