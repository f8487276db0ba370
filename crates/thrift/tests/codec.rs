//! The codec against itself and against an independent peer, over random values of all types.

mod common;
use common::*;
use laurelroute_thrift::codec::application;
use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item, Malformed};
use laurelroute_thrift::codec::head::Head;
use laurelroute_thrift::codec::header::Header;
use laurelroute_thrift::codec::path::{find, FieldPath, Value};
use laurelroute_thrift::codec::{Fault, Form, Kind, Limits, Protocol, Transport, Type, FORMS};
use proptest::prelude::*;

const PROTOCOLS: [Protocol; 3] = [Protocol::BinaryStrict, Protocol::BinaryOld, Protocol::Compact];

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// What the peer writes is what we read; what we pass on in the other protocol the peer reads as the same.
    #[test]
    fn the_peer_and_we_agree(value in arguments(false), seqid in any::<i32>()) {
        for protocol in PROTOCOLS {
            let theirs = peer_message(protocol, "status", seqid, &value);
            let own = ours(protocol, "status", seqid, &value);
            prop_assert_eq!(typeless(peer_read(protocol, &own).2), typeless(value.clone()), "{:?}", protocol);
            // Compact has two codings for a step of 15 between fields, and the peer uses the longer one.
            if protocol != Protocol::Compact {
                prop_assert_eq!(&theirs, &own, "{:?}", protocol);
            }
            let message = decode(&framed(&theirs));
            prop_assert_eq!(tokens(&message), tokens(&decode(&framed(&own))));
            prop_assert_eq!(&message.head, &Head { name: "status".into(), kind: Kind::Call, seqid });
            for to in PROTOCOLS {
                let form = Form { transport: Transport::Unframed, protocol: to };
                let out = message.encode(form, None).unwrap().to_vec();
                let (name, number, read) = peer_read(to, &out);
                prop_assert_eq!((name.as_str(), number), ("status", seqid));
                prop_assert_eq!(typeless(read), typeless(value.clone()), "{:?} to {:?}", protocol, to);
            }
        }
    }

    /// A message that is split anywhere is read the same, and not before its last byte.
    #[test]
    fn splits_change_nothing(value in arguments(true)) {
        for (name, form) in FORMS {
            let message = decode(&framed(&ours(Protocol::BinaryStrict, "gauges", 5, &value)));
            let header = Header { seqid: 9, pairs: vec![("a".into(), "b".into())], ..Header::default() };
            let bytes = message.encode(form, Some(&header)).unwrap().to_vec();
            let mut decoder = Decoder::new(Accept::Detect, Limits { message: 1 << 20, ..Limits::default() });
            for (k, byte) in bytes.iter().enumerate() {
                prop_assert!(decoder.take_item().is_none(), "{}: whole after {} of {}", name, k, bytes.len());
                decoder.buffer().extend_from_slice(&[*byte]);
            }
            let Some(Item::Message(read)) = decoder.take_item() else { panic!("{name}: nothing read") };
            prop_assert_eq!(read.form, form);
            prop_assert_eq!(read.header.as_ref(), (form.transport == Transport::Header).then_some(&header));
            prop_assert_eq!(tokens(&read), tokens(&message), "{}", name);
            // Byte-exact where the forms agree.
            prop_assert_eq!(read.encode(form, None).unwrap().to_vec(), bytes);
            prop_assert!(!decoder.partial());
        }
    }

    /// To compact and back again nothing is lost but the types of empty maps.
    #[test]
    fn there_and_back(value in arguments(true)) {
        let message = decode(&framed(&ours(Protocol::BinaryStrict, "status", 1, &value)));
        let compact = Form { transport: Transport::Framed, protocol: Protocol::Compact };
        let there = decode(&message.encode(compact, None).unwrap().to_vec());
        let back = decode(&there.encode(message.form, None).unwrap().to_vec());
        prop_assert_eq!(tokens(&back), tokens(&message));
        prop_assert_eq!(tokens(&there), tokens(&message));
    }
}

fn only(form: &str) -> Decoder {
    Decoder::new(Accept::Only(Form::named(form).unwrap()), Limits::default())
}

fn malformed(mut decoder: Decoder, bytes: &[u8]) -> Malformed {
    decoder.buffer().extend_from_slice(bytes);
    match decoder.take_item() {
        Some(Item::Malformed(m)) => m,
        other => panic!("taken: {other:?}"),
    }
}

fn detect() -> Decoder {
    Decoder::new(Accept::Detect, Limits::default())
}

/// A strict binary call of `m` with these bytes as its arguments.
fn call(body: &[u8]) -> Vec<u8> {
    [&[0x80, 1, 0, 1, 0, 0, 0, 1, b'm', 0, 0, 0, 7], body].concat()
}

#[test]
fn an_announced_size_is_refused_before_it_costs_anything() {
    // A frame of 2 GB, one of a negative size.
    let m = malformed(detect(), &[0x7f, 0xff, 0xff, 0xff]);
    assert_eq!((m.fault, m.in_step), (Fault::TooLong { limit: 65536 }, false));
    assert_eq!(malformed(detect(), &[0xff, 0xff, 0xff, 0xfe]).fault, Fault::NegativeFrame(-2));
    // A map of 2^31 - 1 entries, a list of a negative size, a string larger than its frame.
    let cases: [(&[u8], Fault); 4] = [
        (&[13, 0, 1, 8, 8, 0x7f, 0xff, 0xff, 0xff, 0], Fault::Oversize { size: i32::MAX as u32, left: 1 }),
        (&[13, 0, 1, 8, 8, 0x80, 0, 0, 0, 0], Fault::NegativeSize(i32::MIN)),
        (&[15, 0, 1, 8, 0xff, 0xff, 0xff, 0xff, 0], Fault::NegativeSize(-1)),
        (&[11, 0, 1, 0, 0, 0, 9, b'x', 0], Fault::Oversize { size: 9, left: 2 }),
    ];
    for (body, fault) in cases {
        let m = malformed(detect(), &framed(&call(body)));
        assert_eq!((m.fault, m.in_step), (fault, true));
        let (_, head, _) = m.call.expect("the head was sound");
        assert_eq!((head.name.as_str(), head.seqid), ("m", 7));
    }
}

#[test]
fn what_is_wrong_with_a_frame_is_named_and_the_next_one_is_read() {
    let deep = |levels: usize| [[12, 0, 1].repeat(levels), vec![0; levels + 1]].concat();
    let cases: [(Vec<u8>, Fault); 8] = [
        (call(&deep(1000)), Fault::TooDeep(64)),
        (call(&[5, 0, 1, 0]), Fault::UnknownType(5)),
        (call(&[2, 0, 1, 7, 0]), Fault::Bool(7)),
        (call(&[0, 0]), Fault::Trailing(1)),
        (call(&[8, 0, 1, 0, 0]), Fault::Truncated),
        (vec![], Fault::Truncated),
        (vec![0x80, 1, 0, 9, 0, 0, 0, 1, b'm', 0, 0, 0, 7, 0], Fault::MessageKind(9)),
        (vec![0x82, 0x21, 7, 1, b'm', 0x1e, 0], Fault::UnknownType(14)),
    ];
    for (frame, fault) in cases {
        let mut decoder = detect();
        let good = framed(&call(&[0]));
        decoder.buffer().extend_from_slice(&[&good[..], &framed(&frame), &good].concat());
        assert!(matches!(decoder.take_item(), Some(Item::Message(_))));
        match decoder.take_item() {
            Some(Item::Malformed(m)) => assert_eq!((m.fault, m.in_step), (fault, true)),
            other => panic!("{fault}: {other:?}"),
        }
        assert!(matches!(decoder.take_item(), Some(Item::Message(_))), "{fault}: out of step");
    }
    assert!(matches!(
        {
            let mut d = detect();
            d.buffer().extend_from_slice(&framed(&call(&deep(63))));
            d.take_item()
        },
        Some(Item::Message(_))
    ));
}

#[test]
fn an_unframed_message_that_is_unsound_ends_its_stream() {
    let m = malformed(detect(), &[call(&[5]), call(&[0])].concat());
    assert_eq!((m.fault, m.in_step), (Fault::UnknownType(5), false));
    assert_eq!(m.call.expect("its head was read").1.seqid, 7);
    // One that never ends is cut at the limit, however it trickles in.
    let mut decoder = detect();
    let field = [&[11, 0, 1, 0, 0, 0x0f, 0xf0][..], &[b'x'; 0xff0]].concat();
    decoder.buffer().extend_from_slice(&call(&[]));
    let mut last = None;
    for _ in 0..17 {
        decoder.buffer().extend_from_slice(&field);
        last = last.or(decoder.take_item());
    }
    assert!(matches!(last, Some(Item::Malformed(m)) if !m.in_step), "never refused");
    decoder.buffer().extend_from_slice(&call(&[0]));
    assert!(decoder.take_item().is_none(), "nothing is read after that");
}

#[test]
fn a_fixed_form_takes_no_other() {
    let body = Val::Struct(vec![(1, Val::I32(5))]);
    for (name, form) in FORMS {
        let bytes =
            decode(&framed(&ours(Protocol::Compact, "m", 1, &body))).encode(form, None).unwrap().to_vec();
        for (other, _) in FORMS {
            let mut decoder = only(other);
            decoder.buffer().extend_from_slice(&bytes);
            let taken = matches!(decoder.take_item(), Some(Item::Message(_)));
            assert_eq!(taken, name == other, "{name} by a decoder for {other}");
        }
    }
    assert_eq!(malformed(detect(), &[0x80, 2]).fault, Fault::UnknownForm);
    assert_eq!(malformed(detect(), &[0x82, 0x23]).fault, Fault::UnknownForm);
}

#[test]
fn exceptions_are_read_back_by_both() {
    let call = Head { name: "Warnings:status".into(), kind: Kind::Call, seqid: -4 };
    for (name, form) in FORMS {
        let text = "come back in 0.500 s";
        let out = application::encode(form, &call, None, application::LOAD_SHEDDING, text);
        let message = decode(&out.to_vec());
        assert_eq!(application::decode(&message), (11, text.to_owned()), "{name}");
        assert!(call.answered_by(&message.head));
        let (_, _, value) = peer_read(form.protocol, &out.payload);
        let fields = vec![(1, Val::Binary(text.into())), (2, Val::I32(11))];
        assert_eq!(value, Val::Struct(fields));
    }
}

#[test]
fn values_are_found_by_their_paths() {
    let inner = Val::Struct(vec![
        (3, Val::Binary(b"crew-7".to_vec())),
        (4, Val::List(Type::Struct, vec![Val::Struct(vec![(3, Val::I32(99))])])),
        (9, Val::I64(-5)),
    ]);
    let value = Val::Struct(vec![(1, inner), (3, Val::Bool(true))]);
    for protocol in PROTOCOLS {
        let message = decode(&framed(&ours(protocol, "m", 1, &value)));
        let paths: Vec<FieldPath> =
            ["1.3", "1.9", "3", "1.4.3", "2", "1"].iter().map(|p| p.parse().unwrap()).collect();
        let found = find(&message, &paths.iter().collect::<Vec<_>>());
        let text = Value::Bytes(b"crew-7".to_vec());
        assert_eq!(found, [Some(text), Some(Value::Number(-5)), Some(Value::Number(1)), None, None, None]);
    }
}
