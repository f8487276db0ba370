//! Boxes that answer at once, in a process of their own: what they cost is not the node's.

use crate::report::Failure;
use laurelroute_testkit::discovery::Entry;
use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::head::Head;
use laurelroute_thrift::codec::walk::Token;
use laurelroute_thrift::codec::write::Writer;
use laurelroute_thrift::codec::{Form, Kind, Limits, Transport, Type};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// What every answer carries: a gauge's reading, about.
pub const ANSWER: &[u8] = &[b'g'; 200];

/// Read and written at once of what is long.
const PART: usize = 16 * 1024;

/// Where a box listens on HTTP and Thrift.
pub type Addresses = (SocketAddr, SocketAddr);

/// Boxes in a process of their own, which ends with this.
pub struct Boxes {
    child: Child,
    /// Where they listen.
    pub addresses: Vec<Addresses>,
}

impl Boxes {
    /// Their list, as discovery tells it.
    pub fn entries(&self) -> Vec<Entry> {
        let entry = |(k, (http, thrift)): (usize, &Addresses)| Entry {
            name: format!("box-{k}"),
            http: *http,
            thrift: Some(*thrift),
            health: "active",
            born_ms: 0,
            block: 1,
            services: Vec::new(),
        };
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// Starts so many, which speak Thrift in this form.
    pub fn start(form: Form, count: usize) -> Result<Boxes, Failure> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["boxes", "--form", form.name(), "--count", &count.to_string()])
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| Failure("the boxes say nothing".into()))?;
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)?;
        let addresses = serde_json::from_str(&line)?;
        Ok(Boxes { child, addresses })
    }
}

impl Drop for Boxes {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The boxes' process.
pub fn run(form: &str, count: usize) -> Result<(), Failure> {
    let form = Form::named(form).ok_or_else(|| Failure(format!("no form `{form}`")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let mut addresses: Vec<Addresses> = Vec::new();
        for _ in 0..count {
            let (http, thrift) =
                (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
            addresses.push((http.local_addr()?, thrift.local_addr()?));
            spawn_local(accept(http, None));
            spawn_local(accept(thrift, Some(form)));
        }
        println!("{}", serde_json::to_string(&addresses)?);
        std::future::pending::<()>().await;
        Ok(())
    })
}

async fn accept(listener: TcpListener, form: Option<Form>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            let _ = match form {
                Some(form) => thrift(stream, form).await,
                None => http(stream).await,
            };
        });
    }
}

async fn http(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let answer =
        [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", ANSWER.len()).as_bytes(), ANSWER].concat();
    let mut line = String::new();
    let mut part = vec![b'a'; PART];
    loop {
        let (mut body, mut long) = (0, None);
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("content-length") {
                    body = value.trim().parse::<usize>().unwrap_or(0);
                }
            }
            if let Some((_, size)) = line.split_once("?answer=") {
                long = size.split(' ').next().and_then(|n| n.parse::<usize>().ok());
            }
            if line == "\r\n" {
                break;
            }
        }
        while body > 0 {
            let n = body.min(PART);
            stream.read_exact(&mut part[..n]).await?;
            body -= n;
        }
        let Some(mut left) = long else {
            stream.write_all(&answer).await?;
            continue;
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {left}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        while left > 0 {
            let n = left.min(PART);
            stream.write_all(&part[..n]).await?;
            left -= n;
        }
    }
}

async fn thrift(mut stream: TcpStream, form: Form) -> std::io::Result<()> {
    let mut decoder = Decoder::new(Accept::Only(form), Limits::default());
    loop {
        while let Some(item) = decoder.take_item() {
            let Item::Message(message) = item else { return Ok(()) };
            stream.write_all(&reply(form, message.head)).await?;
        }
        if stream.read_buf(decoder.buffer()).await? == 0 {
            return Ok(());
        }
    }
}

fn reply(form: Form, call: Head) -> Vec<u8> {
    let mut out = vec![0; if form.transport == Transport::Unframed { 0 } else { 4 }];
    if form.transport == Transport::Header {
        laurelroute_thrift::codec::header::Header::default().write(form.protocol, &mut out);
    }
    Head { kind: Kind::Reply, ..call }.write(form.protocol, &mut out);
    let mut writer = Writer::new(form.protocol, &mut out);
    for token in [
        Token::StructBegin,
        Token::Field { id: 0, kind: Type::Binary },
        Token::Binary(ANSWER),
        Token::StructEnd,
    ] {
        writer.put(token);
    }
    if form.transport != Transport::Unframed {
        let len = (out.len() - 4) as u32;
        out[..4].copy_from_slice(&len.to_be_bytes());
    }
    out
}
