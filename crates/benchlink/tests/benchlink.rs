//! Runs the adapter as a process and checks its replies to hand-encoded frames on its standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str =
    "caps.cancelling=true\ncaps.maxAttempts=3\ncaps.maxRetryAfterNs=500000000\ncaps.mayProbe=false\n\
caps.peers=false\ncaps.retryAfter=true\ncaps.secondCopies=true\nclasses.count=1\nclasses.0.aimNs=400000000\n\
classes.0.effect=pure\nclasses.0.giveUpNs=800000000\nclasses.0.group=all\nclasses.0.worth=1.0\n\
guarantees.coldFrom=0.3\nguarantees.fallNs=2000000000\nguarantees.rampTimeNs=9000000000\n\
guarantees.tipMultiple=2.5\ngroupSize=1\nordinal=0\nregistryMode=subscribe\nreport.names=depth,mystery\n\
report.via=piggyback\nsome.new.key=whatever\ntenants=\nweightSource=nominal\nzone=0\nzones=a,b\n";

/// Sends `input` to the adapter and waits for it to exit.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_laurelroute-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    let mut stdin = child.stdin.take().unwrap();
    // The adapter exits early on malformed input, and the write can then fail with a broken pipe.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().unwrap()
}

/// Encodes a frame: header, event records, tail.
fn frame(clock: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = 16 + 48 * records.len() + tail.len();
    let mut out = clock.to_be_bytes().to_vec();
    out.extend((length as u32).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    for record in records {
        out.extend(record);
    }
    out.extend(tail);
    out
}

/// Encodes an event record, padded with zeros to its fixed size.
fn record(code: u8, instance: u32, fields: &[&[u8]]) -> Vec<u8> {
    let mut out = vec![code];
    out.extend(instance.to_be_bytes());
    fields.iter().for_each(|field| out.extend(*field));
    assert!(out.len() <= 48);
    out.resize(48, 0);
    out
}

/// Encodes the start of an instance whose settings are the first `length` bytes of the tail.
fn start_record(instance: u32, length: usize) -> Vec<u8> {
    record(50, instance, &[&7u64.to_be_bytes(), &0u32.to_be_bytes(), &(length as u32).to_be_bytes()])
}

/// Encodes the list entry of the server 10.0.0.`host`:8080.
fn list_entry(host: u8, phase: u8) -> Vec<u8> {
    let mut out = vec![10, 0, 0, host, 0x1f, 0x90, 0, 0, 0, 0, 1, phase];
    out.extend(1.5f32.to_be_bytes());
    out.extend(0u64.to_be_bytes());
    out
}

/// Encodes a list event whose entries start at `offset` in the tail.
fn list_record(instance: u32, kind: u8, offset: usize, entries: u32) -> Vec<u8> {
    record(
        90,
        instance,
        &[&1u32.to_be_bytes(), &[kind], &(offset as u32).to_be_bytes(), &entries.to_be_bytes()],
    )
}

/// Encodes a request of class 0 with a deadline and no tenant or key. The unassigned option bits 8 to 15 are set; the
/// adapter must ignore them.
fn request_record(instance: u32, id: u32, deadline: u64) -> Vec<u8> {
    let no_tenant_or_key = [0u8; 12];
    record(
        10,
        instance,
        &[
            &id.to_be_bytes(),
            &[0],
            &no_tenant_or_key,
            &deadline.to_be_bytes(),
            &[0; 8],
            &0xff00u16.to_be_bytes(),
        ],
    )
}

/// Splits the output into replies, each a list of action records (code, instance, fields).
fn replies(output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut offset = 0;
    let mut all = Vec::new();
    while offset < output.len() {
        let u32_at =
            |at: usize| u32::from_be_bytes(output[offset + at..offset + at + 4].try_into().unwrap()) as usize;
        let (count, length) = (u32_at(0), u32_at(4));
        all.push(
            (0..count)
                .map(|index| output[offset + 8 + 24 * index..offset + 32 + 24 * index].to_vec())
                .collect(),
        );
        offset += length;
    }
    assert_eq!(offset, output.len());
    all
}

/// Encodes a frame that starts an instance and gives it a cached list of one ready and one draining server.
fn start_frame(instance: u32) -> Vec<u8> {
    let mut tail = SETTINGS.as_bytes().to_vec();
    tail.extend(list_entry(1, 1));
    tail.extend(list_entry(2, 2));
    frame(
        1_000_000_000,
        &[start_record(instance, SETTINGS.len()), list_record(instance, 2, SETTINGS.len(), 2)],
        &tail,
    )
}

#[test]
fn one_instance_handles_every_kind_of_event() {
    let mut input = frame(0, &[], &[]);
    input.extend(start_frame(3));
    input.extend(frame(2_000_000_000, &[request_record(3, 77, 2_800_000_000)], &[]));
    // An ended attempt with a load report, a client disconnect, a probe result, a peer message, a started stream, a
    // stale timer and the stop of the instance.
    let mut attempt_ended = 77u32.to_be_bytes().to_vec();
    attempt_ended.extend([10, 0, 0, 1, 0x1f, 0x90, 0, 1]);
    attempt_ended.extend(50_000_000u64.to_be_bytes());
    attempt_ended.extend([0, 0, 2]);
    attempt_ended.extend(3f32.to_be_bytes());
    attempt_ended.extend(f32::NAN.to_be_bytes());
    let records = [
        record(100, 3, &[&attempt_ended]),
        record(40, 3, &[&5u32.to_be_bytes()]),
        record(30, 3, &[&[10, 0, 0, 1, 0x1f, 0x90, 0, 0]]),
        record(60, 3, &[&2u32.to_be_bytes(), &0u32.to_be_bytes(), &4u32.to_be_bytes()]),
        record(20, 3, &[&9u32.to_be_bytes()]),
        record(70, 3, &[&123u32.to_be_bytes()]),
        record(80, 3, &[]),
    ];
    input.extend(frame(2_050_000_000, &records, b"hi 7"));
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let all = replies(&output.stdout);
    assert_eq!(all.len(), 4);
    assert_eq!(&output.stdout[..8], &[0, 0, 0, 0, 0, 0, 0, 8]);
    // After a cached list the instance subscribes to the registry. The request goes to the only ready server, without a
    // timeout of its own (0): the client's deadline bounds the attempt.
    let subscribe = [vec![80, 0, 0, 0, 3, 1], vec![0; 18]].concat();
    assert_eq!(all[1], [subscribe]);
    let send = [vec![100, 0, 0, 0, 3, 0, 0, 0, 77, 10, 0, 0, 1, 0x1f, 0x90], vec![0; 9]].concat();
    assert!(all[2].contains(&send), "{:?}", all[2]);
    assert!(all[3].iter().all(|r| ![100, 40, 10].contains(&r[0])), "{:?}", all[3]);
}

#[test]
fn a_restart_within_one_batch_discards_the_server_list() {
    let mut input = start_frame(3);
    let settings = SETTINGS.as_bytes();
    let records = [record(80, 3, &[]), start_record(3, settings.len()), request_record(3, 5, 4_000_000_000)];
    input.extend(frame(3_000_000_000, &records, settings));
    let all = replies(&run(&input).stdout);
    // The restarted instance has no server, so it refuses the request.
    assert_eq!(all[1][0][..9], [40, 0, 0, 0, 3, 0, 0, 0, 5]);
}

#[test]
fn instances_are_independent() {
    let frames = |instance| {
        [start_frame(instance), frame(2_000_000_000, &[request_record(instance, 1, 2_800_000_000)], &[])]
    };
    let alone = run(&frames(3).concat());
    let (a, b) = (frames(3), frames(4));
    let both = run(&[a[0].clone(), b[0].clone(), b[1].clone(), a[1].clone()].concat());
    assert_eq!(replies(&alone.stdout)[1], replies(&both.stdout)[3]);
}

#[test]
fn malformed_input_is_reported_and_ends_the_process() {
    let settings = |text: &str| frame(1, &[start_record(0, text.len())], text.as_bytes());
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (vec![0; 7], "inside a frame header: 7 of 16"),
        (start_frame(0)[..60].to_vec(), "inside a frame: 60 of"),
        ([&[0; 8][..], &[0, 0, 0, 20, 0, 0, 0, 9]].concat(), "frame length 20"),
        ([&[0; 8][..], &[255, 255, 255, 255, 0, 0, 0, 1], &[0; 99]].concat(), "inside a frame"),
        (frame(1, &[record(99, 0, &[])], &[]), "record 0: unknown event code 99"),
        (frame(1, &[list_record(0, 7, 0, 0)], &[]), "unknown list kind 7"),
        (frame(1, &[list_record(0, 1, 4, 1)], &[0; 24]), "tail reference 4+1"),
        (frame(1, &[list_record(0, 1, 0, 1)], &list_entry(1, 9)), "unknown phase 9"),
        (frame(1, &[record(30, 0, &[&[0, 0, 0, 0, 0, 0, 0, 77]])], &[]), "unknown outcome code 77"),
        (frame(1, &[start_record(0, 50)], &[]), "tail reference 0+50"),
        (settings("no pairs here"), "no `=`"),
        (settings(""), "is missing"),
        (settings(&SETTINGS.replace("giveUpNs=800000000", "giveUpNs=soon")), "classes.0.giveUpNs"),
        (
            settings(&SETTINGS.replace("aimNs=400000000", "aimNs=0")),
            "`classes.0.aimNs` is `0`; it has to be from 1",
        ),
        (settings(&SETTINGS.replace("effect=pure", "effect=odd")), "classes.0.effect"),
        (settings(&SETTINGS.replace("zone=0", "zone=2")), "`zone` is 2"),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{message}: {error}");
        assert!(error.contains(message) && !error.contains("panicked"), "{message}: {error}");
    }
    assert!(run(&[]).status.success());
}
