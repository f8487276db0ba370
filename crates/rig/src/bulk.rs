//! `rig bulk`: long messages through the node, many at once, each way. Memory against their number and size, and bytes a
//! second against a bare pass-through, in one run.

use crate::boxes::{Boxes, ANSWER};
use crate::passthrough::Passthrough;
use crate::report::{table, Failure, Outcome};
use crate::site::Site;
use crate::Common;
use laurelroute_testkit::fresh_id;
use laurelroute_testkit::process::{memory_kb, Memory};
use laurelroute_thrift::codec::Form;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// Boxes, so that every message has one to itself.
const BOXES: usize = 64;
/// Messages at once, and their size in bytes.
const ROWS: [(usize, usize); 6] =
    [(4, 1 << 20), (32, 1 << 20), (4, 8 << 20), (32, 8 << 20), (4, 32 << 20), (32, 32 << 20)];
/// What the node may hold in all; its configuration says so (`testkit::program`).
const MEMORY_MB: f64 = 48.0;
/// Read and written at once.
const PART: usize = 64 * 1024;

/// Which way the messages go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Answers.
    Down,
    /// Bodies.
    Up,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Down => "answers",
            Way::Up => "bodies",
        }
    }
}

/// One request whose answer, or whose own body, has this size; false where it does not come through whole.
async fn one(address: SocketAddr, way: Way, size: usize) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let (method, path, body) = match way {
        Way::Down => ("GET", format!("/read?answer={size}"), 0),
        Way::Up => ("POST", "/write".to_owned(), size),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 5000\r\n\
         Content-Length: {body}\r\n\r\n",
        fresh_id()
    );
    stream.write_all(head.as_bytes()).await?;
    let mut part = vec![b'u'; PART];
    let mut left = body;
    while left > 0 {
        let n = left.min(PART);
        stream.write_all(&part[..n]).await?;
        left -= n;
    }
    let mut held = Vec::new();
    let end = loop {
        if let Some(at) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut held).await? == 0 {
            return Ok(false);
        }
    };
    let served = held.starts_with(b"HTTP/1.1 200");
    let mut came = held.len() - end;
    let wanted = if way == Way::Down { size } else { ANSWER.len() };
    while served && came < wanted {
        match stream.read(&mut part).await? {
            0 => return Ok(false),
            n => came += n,
        }
    }
    Ok(served && came == wanted)
}

/// So many at once, again and again for a while: bytes a second, and how many came through and did not.
fn load(
    address: SocketAddr,
    way: Way,
    (count, size): (usize, usize),
    seconds: f64,
) -> Result<(f64, [u64; 2]), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let begun = Instant::now();
        let client = move || async move {
            let mut seen = [0, 0];
            while seen == [0, 0] || begun.elapsed() < Duration::from_secs_f64(seconds) {
                let whole = one(address, way, size).await.unwrap_or(false);
                seen[usize::from(!whole)] += 1;
            }
            seen
        };
        let clients: Vec<_> = (0..count).map(|_| spawn_local(client())).collect();
        let mut seen = [0, 0];
        for client in clients {
            let own = client.await?;
            seen = [seen[0] + own[0], seen[1] + own[1]];
        }
        let bytes = (seen[0] * size as u64) as f64;
        Ok((bytes / begun.elapsed().as_secs_f64(), seen))
    })
}

/// The most memory that a process has held, in MB.
fn peak_mb(pid: u32) -> f64 {
    memory_kb(pid, Memory::Peak).map_or(f64::NAN, |kb| kb as f64 / 1024.0)
}

/// Runs the measurement.
pub fn run(common: &Common) -> Result<(), Failure> {
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let boxes = Boxes::start(form, BOXES)?;
    let (mut rows, mut outcome, mut broken) = (Vec::new(), Outcome::default(), None);
    let (mut highest, mut least) = (0.0f64, f64::INFINITY);
    for way in [Way::Down, Way::Up] {
        for (count, size) in ROWS {
            println!("{count} {} of {} MiB at once ...", way.name(), size >> 20);
            // A process of its own for each row: what it has held at most is the row's.
            let (site, pass) = (Site::start(&boxes, form, false)?, Passthrough::start(&boxes, false)?);
            let (node, seen) = load(site.node.http, way, (count, size), common.seconds)?;
            let (bare, _) = load(pass.address, way, (count, size), common.seconds)?;
            let memory = peak_mb(site.node.pid());
            pass.finish()?;
            (highest, least) = (highest.max(memory), least.min(node / bare));
            rows.push(vec![
                way.name().to_owned(),
                count.to_string(),
                (size >> 20).to_string(),
                format!("{memory:.1}"),
                format!("{:.0}", node / 1e6),
                format!("{:.2}", node / bare),
                seen[0].to_string(),
                seen[1].to_string(),
            ]);
            if seen[1] > 0 {
                broken.get_or_insert(format!("{} of {count} at once did not come through whole", seen[1]));
            }
        }
    }
    table(&["", "at once", "MiB each", "most MB held", "MB/s", "of a bare one", "whole", "not whole"], &rows);
    if highest > MEMORY_MB {
        broken.get_or_insert(format!("{highest:.1} MB held, where {MEMORY_MB} are allowed"));
    }
    outcome.put("most_mb", highest);
    outcome.put("least_of_passthrough", least);
    outcome.close("bulk", common)?;
    broken.map_or(Ok(()), |wrong| Err(Failure(wrong)))
}
