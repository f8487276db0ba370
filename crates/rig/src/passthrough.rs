//! A bare pass-through on the libraries that the node is built on (tokio, hyper): what any proxy on them costs at
//! least. It keeps connections to the boxes, takes them in turn, and checks, decides and limits nothing.

use crate::boxes::Boxes;
use crate::report::Failure;
use crate::site::{again, Used};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use laurelroute_core::io_counters;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// A pass-through in a process of its own.
pub struct Passthrough {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    out: BufReader<ChildStdout>,
}

impl Passthrough {
    /// Starts one before these boxes; counted, it runs under valgrind.
    pub fn start(boxes: &Boxes, counted: bool) -> Result<Passthrough, Failure> {
        let command = again("passthrough", counted)?;
        let mut child = Command::new(&command[0])
            .args(&command[1..])
            .args(boxes.addresses.iter().map(|(http, _)| http.to_string()))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| Failure("the pass-through says nothing".into()))?;
        let mut out = BufReader::new(out);
        let mut line = String::new();
        out.read_line(&mut line)?;
        let address = line.trim().parse()?;
        Ok(Passthrough { child, address, out })
    }

    /// The process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends it and gives what it has used.
    pub fn finish(mut self) -> Result<Used, Failure> {
        Command::new("kill").arg(self.child.id().to_string()).status()?;
        let mut text = String::new();
        self.out.read_to_string(&mut text)?;
        if let Some(mut errors) = self.child.stderr.take() {
            errors.read_to_string(&mut text)?;
        }
        self.child.wait()?;
        Ok(Used::read(&text))
    }
}

struct Counted(TcpStream);

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, buf));
        io_counters::record_read(false);
        Poll::Ready(read)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        io_counters::record_write();
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        io_counters::record_write();
        Pin::new(&mut self.0).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

struct Pool {
    boxes: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<SendRequest<Incoming>>>>,
    turn: Cell<usize>,
}

impl Pool {
    async fn pass(&self, request: Request<Incoming>) -> Result<Response<Incoming>, Failure> {
        let k = self.turn.get() % self.boxes.len();
        self.turn.set(k + 1);
        let kept = self.idle.borrow_mut()[k].pop();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.boxes[k]).await?;
                stream.set_nodelay(true)?;
                let io = TokioIo::new(Counted(stream));
                let (sender, connection) = hyper::client::conn::http1::handshake(io).await?;
                spawn_local(connection);
                sender
            }
        };
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        self.idle.borrow_mut()[k].push(sender);
        Ok(response)
    }
}

async fn serve(pool: Rc<Pool>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let pool = pool.clone();
        async move {
            Ok::<_, Infallible>(match pool.pass(request).await {
                Ok(response) => response.map(http_body_util::Either::Left),
                Err(_) => {
                    let mut response =
                        Response::new(http_body_util::Either::Right(http_body_util::Empty::new()));
                    *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                    response
                }
            })
        }
    });
    let io = TokioIo::new(Counted(stream));
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
}

/// The pass-through's process, until SIGTERM.
pub fn run(boxes: Vec<SocketAddr>) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let idle = RefCell::new(boxes.iter().map(|_| Vec::new()).collect());
        let pool = Rc::new(Pool { boxes, idle, turn: Cell::new(0) });
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    spawn_local(serve(pool.clone(), stream));
                }
            }
        }
        crate::site::tell();
        Ok(())
    })
}
