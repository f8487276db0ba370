//! Lines and entries of discovery's lists.

use super::*;

fn lines(text: &str) -> Vec<Result<Line, String>> {
    let mut assembler = LineAssembler::new(MAX_LINE_BYTES);
    text.split_terminator('\n').map(|l| assembler.end_line(l.as_bytes()).map_err(|e| e.to_string())).collect()
}

#[test]
fn a_list_ends_where_its_last_brace_closes() {
    let complete = |text: &str| Ok(Line::Complete(text.as_bytes().to_vec()));
    let flat = r#"{"seq":1,"hosts":[{"host":"a}\"{["}]}"#;
    assert_eq!(
        lines(&format!("{flat}\n\n  {flat}\n")),
        [complete(flat), Ok(Line::Heartbeat), complete(&format!("  {flat}"))]
    );
    let indented = "{\n  \"seq\": 1,\n  \"hosts\": [\n  ]\n}";
    let mut parts: Vec<_> = (0..4).map(|_| Ok(Line::Partial)).collect();
    parts.push(complete(indented));
    assert_eq!(lines(&format!("{indented}\n")), parts);
    // A truncated list ends with the next empty line, and parsing it will fail.
    assert_eq!(lines("{\"seq\":1,\"ho\n\n"), [complete("{\"seq\":1,\"ho"), Ok(Line::Heartbeat)]);
    assert_eq!(lines("{\"seq\":1,\n\n"), [Ok(Line::Partial), complete("{\"seq\":1,\n")]);
    // Two lists on one line are a single invalid one.
    assert_eq!(lines(&format!("{flat}{flat}\n")), [complete(&format!("{flat}{flat}"))]);
}

#[test]
fn services_are_one_name_or_several_and_other_values_are_ignored() {
    let host = |more: &str| {
        let text =
            format!(r#"{{"seq":1,"hosts":[{{"host":"a","dial":"127.0.0.1:1","health":"active"{more}}}]}}"#);
        let host = serde_json::from_str::<HostList>(&text).unwrap().hosts.remove(0);
        [host.service, host.services].concat()
    };
    assert!(host("").is_empty());
    assert_eq!(host(r#","service":"x""#), ["x"]);
    assert_eq!(host(r#","services":["x","y"]"#), ["x", "y"]);
    assert_eq!(host(r#","services":["x",7,null,["z"],"y"]"#), ["x", "y"]);
    assert_eq!(host(r#","service":["x"],"services":"y""#), ["x", "y"]);
    for odd in ["7", "null", "{}", "[]", "[[\"x\"]]", "{\"name\":\"x\"}"] {
        assert!(host(&format!(",\"service\":{odd},\"services\":{odd}")).is_empty(), "{odd}");
    }
}

#[test]
fn a_watcher_of_all_services_accepts_a_longer_line() {
    let mut assembler = LineAssembler::new(MAX_ALL_SERVICES_LINE_BYTES);
    assert!(assembler.append(&vec![b'['; 30 << 20]).is_ok());
    assert!(
        matches!(assembler.end_line(&vec![b']'; 30 << 20]), Ok(Line::Complete(list)) if list.len() == 60 << 20)
    );
    assert!(
        assembler.append(&vec![b'['; MAX_ALL_SERVICES_LINE_BYTES]).is_ok(),
        "the limit applies to each line"
    );
    assert!(matches!(assembler.append(b"["), Err(LineTooLong(MAX_ALL_SERVICES_LINE_BYTES))));
}

#[test]
fn an_endless_line_is_bounded() {
    let mut assembler = LineAssembler::new(MAX_LINE_BYTES);
    assert!(assembler.append(&vec![b'['; MAX_LINE_BYTES]).is_ok());
    assert!(matches!(assembler.append(b"["), Err(LineTooLong(MAX_LINE_BYTES))));
}
