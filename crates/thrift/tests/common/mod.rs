//! Random values of every type, and an independent peer that writes and reads them: Apache's own library.
#![allow(dead_code)]

use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::message::Message;
use laurelroute_thrift::codec::walk::{Token, Walker};
use laurelroute_thrift::codec::write::Writer;
use laurelroute_thrift::codec::{Kind, Limits, Protocol, Type};
use proptest::prelude::*;
use thrift::protocol::*;

/// A value with its type.
#[derive(Clone, Debug, PartialEq)]
pub enum Val {
    Bool(bool),
    Byte(i8),
    I16(i16),
    I32(i32),
    I64(i64),
    Double(u64),
    Binary(Vec<u8>),
    Uuid([u8; 16]),
    Struct(Vec<(i16, Val)>),
    List(Type, Vec<Val>),
    Set(Type, Vec<Val>),
    Map(Type, Type, Vec<(Val, Val)>),
}

impl Val {
    pub fn kind(&self) -> Type {
        match self {
            Val::Bool(_) => Type::Bool,
            Val::Byte(_) => Type::Byte,
            Val::I16(_) => Type::I16,
            Val::I32(_) => Type::I32,
            Val::I64(_) => Type::I64,
            Val::Double(_) => Type::Double,
            Val::Binary(_) => Type::Binary,
            Val::Uuid(_) => Type::Uuid,
            Val::Struct(_) => Type::Struct,
            Val::List(..) => Type::List,
            Val::Set(..) => Type::Set,
            Val::Map(..) => Type::Map,
        }
    }
}

/// The shape of a value: elements of one container are all of one shape's type.
#[derive(Clone, Debug)]
enum Shape {
    Scalar(Type),
    Struct(Vec<(i16, Shape)>),
    List(bool, Box<Shape>, usize),
    Map(Box<Shape>, Box<Shape>, usize),
}

fn scalars(uuid: bool) -> Vec<Type> {
    let mut all = vec![Type::Bool, Type::Byte, Type::I16, Type::I32, Type::I64, Type::Double, Type::Binary];
    all.extend(uuid.then_some(Type::Uuid));
    all
}

fn field_ids() -> impl Strategy<Value = Vec<i16>> {
    // Steps of 1 to 15 and larger ones, backwards and negative: each has a coding of its own in compact.
    proptest::collection::btree_set(prop_oneof![1..40i16, any::<i16>()], 0..6)
        .prop_map(|ids| ids.into_iter().collect())
}

fn shape(uuid: bool) -> impl Strategy<Value = Shape> {
    let leaf = proptest::sample::select(scalars(uuid)).prop_map(Shape::Scalar);
    leaf.prop_recursive(4, 40, 6, |inner| {
        prop_oneof![
            (field_ids(), proptest::collection::vec(inner.clone(), 6))
                .prop_map(|(ids, shapes)| Shape::Struct(ids.into_iter().zip(shapes).collect())),
            (any::<bool>(), inner.clone(), 0..20usize).prop_map(|(l, s, n)| Shape::List(l, Box::new(s), n)),
            (inner.clone(), inner, 0..5usize).prop_map(|(k, v, n)| Shape::Map(Box::new(k), Box::new(v), n)),
        ]
    })
}

fn filled(shape: Shape) -> BoxedStrategy<Val> {
    match shape {
        Shape::Scalar(Type::Bool) => any::<bool>().prop_map(Val::Bool).boxed(),
        Shape::Scalar(Type::Byte) => any::<i8>().prop_map(Val::Byte).boxed(),
        Shape::Scalar(Type::I16) => any::<i16>().prop_map(Val::I16).boxed(),
        Shape::Scalar(Type::I32) => any::<i32>().prop_map(Val::I32).boxed(),
        Shape::Scalar(Type::I64) => any::<i64>().prop_map(Val::I64).boxed(),
        Shape::Scalar(Type::Double) => any::<f64>().prop_map(|v| Val::Double(v.to_bits())).boxed(),
        Shape::Scalar(Type::Uuid) => any::<[u8; 16]>().prop_map(Val::Uuid).boxed(),
        Shape::Scalar(_) => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Val::Binary).boxed(),
        Shape::Struct(fields) => {
            let (ids, shapes): (Vec<_>, Vec<_>) = fields.into_iter().unzip();
            let values: Vec<_> = shapes.into_iter().map(filled).collect();
            values.prop_map(move |v| Val::Struct(ids.iter().copied().zip(v).collect())).boxed()
        }
        Shape::List(list, of, n) => {
            let kind = kind_of(&of);
            let make = move |v| if list { Val::List(kind, v) } else { Val::Set(kind, v) };
            proptest::collection::vec(filled(*of), n).prop_map(make).boxed()
        }
        Shape::Map(key, value, n) => {
            let (k, v) = (kind_of(&key), kind_of(&value));
            let entries = proptest::collection::vec((filled(*key), filled(*value)), n);
            entries.prop_map(move |e| Val::Map(k, v, e)).boxed()
        }
    }
}

fn kind_of(shape: &Shape) -> Type {
    match shape {
        Shape::Scalar(kind) => *kind,
        Shape::Struct(_) => Type::Struct,
        Shape::List(true, ..) => Type::List,
        Shape::List(false, ..) => Type::Set,
        Shape::Map(..) => Type::Map,
    }
}

/// A struct of random fields. UUIDs are left out where the peer does not know them.
pub fn arguments(uuid: bool) -> impl Strategy<Value = Val> {
    let fields = (field_ids(), proptest::collection::vec(shape(uuid), 6));
    fields.prop_flat_map(|(ids, shapes)| filled(Shape::Struct(ids.into_iter().zip(shapes).collect())))
}

/// Writes a value by the project's writer.
pub fn put(writer: &mut Writer<'_>, value: &Val) {
    match value {
        Val::Bool(v) => writer.put(Token::Bool(*v)),
        Val::Byte(v) => writer.put(Token::Byte(*v)),
        Val::I16(v) => writer.put(Token::I16(*v)),
        Val::I32(v) => writer.put(Token::I32(*v)),
        Val::I64(v) => writer.put(Token::I64(*v)),
        Val::Double(v) => writer.put(Token::Double(*v)),
        Val::Binary(v) => writer.put(Token::Binary(v)),
        Val::Uuid(v) => writer.put(Token::Uuid(*v)),
        Val::Struct(fields) => {
            writer.put(Token::StructBegin);
            for (id, value) in fields {
                writer.put(Token::Field { id: *id, kind: value.kind() });
                put(writer, value);
            }
            writer.put(Token::StructEnd);
        }
        Val::List(kind, v) | Val::Set(kind, v) => {
            let (kind, len) = (Some(*kind), v.len() as u32);
            writer.put(match value {
                Val::List(..) => Token::ListBegin { kind, len },
                _ => Token::SetBegin { kind, len },
            });
            v.iter().for_each(|v| put(writer, v));
            writer.put(Token::ContainerEnd);
        }
        Val::Map(key, of, entries) => {
            writer.put(Token::MapBegin { kinds: Some((*key, *of)), len: entries.len() as u32 });
            for (key, value) in entries {
                put(writer, key);
                put(writer, value);
            }
            writer.put(Token::ContainerEnd);
        }
    }
}

/// A whole message by the project's writer, without a frame.
pub fn ours(protocol: Protocol, name: &str, seqid: i32, value: &Val) -> Vec<u8> {
    let mut out = Vec::new();
    let head = laurelroute_thrift::codec::head::Head { name: name.into(), kind: Kind::Call, seqid };
    head.write(protocol, &mut out);
    put(&mut Writer::new(protocol, &mut out), value);
    out
}

/// Puts the length ahead.
pub fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

/// Reads one sound message.
pub fn decode(bytes: &[u8]) -> Message {
    let mut decoder = Decoder::new(Accept::Detect, Limits { message: 1 << 20, ..Limits::default() });
    decoder.buffer().extend_from_slice(bytes);
    match decoder.take_item() {
        Some(Item::Message(message)) => {
            assert!(!decoder.partial(), "bytes are left over");
            message
        }
        other => panic!("no message: {other:?}"),
    }
}

/// The tokens of a struct, in a form that can be compared. Empty maps and containers have lost their types where
/// they came in compact.
pub fn tokens(message: &Message) -> Vec<String> {
    let mut walker: Walker = message.walk();
    let mut all = Vec::new();
    while let Some(token) = walker.next(message.body()).expect("sound") {
        all.push(match token {
            Token::MapBegin { len: 0, .. } => "empty map".into(),
            other => format!("{other:?}"),
        });
    }
    assert!(walker.done());
    all
}

fn ttype(kind: Type) -> TType {
    match kind {
        Type::Bool => TType::Bool,
        Type::Byte => TType::I08,
        Type::I16 => TType::I16,
        Type::I32 => TType::I32,
        Type::I64 => TType::I64,
        Type::Double => TType::Double,
        Type::Binary => TType::String,
        Type::Struct => TType::Struct,
        Type::Map => TType::Map,
        Type::Set => TType::Set,
        Type::List => TType::List,
        Type::Uuid => panic!("the peer knows no UUID"),
    }
}

fn kind(ttype: TType) -> Type {
    match ttype {
        TType::Bool => Type::Bool,
        TType::I08 => Type::Byte,
        TType::I16 => Type::I16,
        TType::I32 => Type::I32,
        TType::I64 => Type::I64,
        TType::Double => Type::Double,
        TType::String => Type::Binary,
        TType::Struct => Type::Struct,
        TType::Map => Type::Map,
        TType::Set => Type::Set,
        TType::List => Type::List,
        other => panic!("no type of a value: {other:?}"),
    }
}

/// Writes a value by Apache's library.
pub fn peer_put(out: &mut dyn TOutputProtocol, value: &Val) -> thrift::Result<()> {
    match value {
        Val::Bool(v) => out.write_bool(*v),
        Val::Byte(v) => out.write_i8(*v),
        Val::I16(v) => out.write_i16(*v),
        Val::I32(v) => out.write_i32(*v),
        Val::I64(v) => out.write_i64(*v),
        Val::Double(v) => out.write_double(f64::from_bits(*v)),
        Val::Binary(v) => out.write_bytes(v),
        Val::Uuid(_) => panic!("the peer knows no UUID"),
        Val::Struct(fields) => {
            out.write_struct_begin(&TStructIdentifier::new("s"))?;
            for (id, value) in fields {
                out.write_field_begin(&TFieldIdentifier::new("f", ttype(value.kind()), *id))?;
                peer_put(out, value)?;
                out.write_field_end()?;
            }
            out.write_field_stop()?;
            out.write_struct_end()
        }
        Val::List(kind, v) => {
            out.write_list_begin(&TListIdentifier::new(ttype(*kind), v.len() as i32))?;
            v.iter().try_for_each(|v| peer_put(out, v))?;
            out.write_list_end()
        }
        Val::Set(kind, v) => {
            out.write_set_begin(&TSetIdentifier::new(ttype(*kind), v.len() as i32))?;
            v.iter().try_for_each(|v| peer_put(out, v))?;
            out.write_set_end()
        }
        Val::Map(key, of, entries) => {
            out.write_map_begin(&TMapIdentifier::new(ttype(*key), ttype(*of), entries.len() as i32))?;
            for (key, value) in entries {
                peer_put(out, key)?;
                peer_put(out, value)?;
            }
            out.write_map_end()
        }
    }
}

/// Reads a value by Apache's library.
pub fn peer_get(input: &mut dyn TInputProtocol, of: Type) -> thrift::Result<Val> {
    Ok(match of {
        Type::Bool => Val::Bool(input.read_bool()?),
        Type::Byte => Val::Byte(input.read_i8()?),
        Type::I16 => Val::I16(input.read_i16()?),
        Type::I32 => Val::I32(input.read_i32()?),
        Type::I64 => Val::I64(input.read_i64()?),
        Type::Double => Val::Double(input.read_double()?.to_bits()),
        Type::Binary => Val::Binary(input.read_bytes()?),
        Type::Uuid => panic!("the peer knows no UUID"),
        Type::Struct => {
            input.read_struct_begin()?;
            let mut fields = Vec::new();
            loop {
                let field = input.read_field_begin()?;
                if field.field_type == TType::Stop {
                    break;
                }
                let value = peer_get(input, kind(field.field_type))?;
                fields.push((field.id.expect("a field has a number"), value));
                input.read_field_end()?;
            }
            input.read_struct_end()?;
            Val::Struct(fields)
        }
        Type::List => {
            let list = input.read_list_begin()?;
            let of = kind(list.element_type);
            let values = (0..list.size).map(|_| peer_get(input, of)).collect::<thrift::Result<_>>()?;
            input.read_list_end()?;
            Val::List(of, values)
        }
        Type::Set => {
            let set = input.read_set_begin()?;
            let of = kind(set.element_type);
            let values = (0..set.size).map(|_| peer_get(input, of)).collect::<thrift::Result<_>>()?;
            input.read_set_end()?;
            Val::Set(of, values)
        }
        Type::Map => {
            let map = input.read_map_begin()?;
            if map.size == 0 {
                input.read_map_end()?;
                // Compact does not say of what.
                return Ok(Val::Map(Type::Bool, Type::Bool, Vec::new()));
            }
            let of = (kind(map.key_type.expect("typed")), kind(map.value_type.expect("typed")));
            let entry = |input: &mut dyn TInputProtocol| Ok((peer_get(input, of.0)?, peer_get(input, of.1)?));
            let entries = (0..map.size).map(|_| entry(input)).collect::<thrift::Result<_>>()?;
            input.read_map_end()?;
            Val::Map(of.0, of.1, entries)
        }
    })
}

/// Maps without entries lose their types on the way: for comparison they all get the same.
pub fn typeless(value: Val) -> Val {
    match value {
        Val::Map(_, _, entries) if entries.is_empty() => Val::Map(Type::Bool, Type::Bool, entries),
        Val::Map(k, v, entries) => {
            Val::Map(k, v, entries.into_iter().map(|(a, b)| (typeless(a), typeless(b))).collect())
        }
        Val::List(k, v) => Val::List(k, v.into_iter().map(typeless).collect()),
        Val::Set(k, v) => Val::Set(k, v.into_iter().map(typeless).collect()),
        Val::Struct(f) => Val::Struct(f.into_iter().map(|(id, v)| (id, typeless(v))).collect()),
        other => other,
    }
}

/// A whole message by Apache's library, without a frame.
pub fn peer_message(protocol: Protocol, name: &str, seqid: i32, value: &Val) -> Vec<u8> {
    let mut out = Vec::new();
    let id = TMessageIdentifier::new(name, TMessageType::Call, seqid);
    let write = |writer: &mut dyn TOutputProtocol| -> thrift::Result<()> {
        writer.write_message_begin(&id)?;
        peer_put(writer, value)?;
        writer.write_message_end()?;
        writer.flush()
    };
    match protocol {
        Protocol::Compact => write(&mut TCompactOutputProtocol::new(&mut out)),
        _ => write(&mut TBinaryOutputProtocol::new(&mut out, protocol == Protocol::BinaryStrict)),
    }
    .expect("the peer writes");
    out
}

/// Reads a whole message by Apache's library: name, number and value.
pub fn peer_read(protocol: Protocol, bytes: &[u8]) -> (String, i32, Val) {
    let read = |input: &mut dyn TInputProtocol| -> thrift::Result<(String, i32, Val)> {
        let head = input.read_message_begin()?;
        let value = peer_get(input, Type::Struct)?;
        input.read_message_end()?;
        Ok((head.name, head.sequence_number, value))
    };
    match protocol {
        Protocol::Compact => read(&mut TCompactInputProtocol::new(bytes)),
        _ => read(&mut TBinaryInputProtocol::new(bytes, protocol == Protocol::BinaryStrict)),
    }
    .expect("the peer reads")
}
