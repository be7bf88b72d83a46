//! Connections that report end of file as an error, with socket options of the caller's choice.
//!
//! The HTTP client accepts a response as complete if the connection is closed
//! in the middle of the body. A complete response is delimited by its length or
//! its last chunk, so the client stops reading before the end of the
//! connection. Reaching the end of the connection during a read is therefore an
//! error. A response delimited only by the close of its connection can't be
//! distinguished from a truncated one and fails as well.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, Resolver};
use actix_web::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Sets options of a new connection's socket; an error fails the connection.
pub type SocketSetup = fn(&TcpStream) -> io::Result<()>;

/// Returns a connector whose connections report end of file as an error.
pub(crate) fn connector(
    setup: SocketSetup,
) -> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, EofErrorStream>, Error = ConnectError>
+ Clone {
    let tcp = Connector::new(Resolver::default()).service();
    let configure = move |connection: Connection<Uri, TcpStream>| async move {
        let (io, uri) = connection.into_parts();
        setup(&io).map_err(ConnectError::Io)?;
        Ok(Connection::new(uri, EofErrorStream(io)))
    };
    tcp.and_then(fn_service(configure))
}

/// TCP stream that returns `UnexpectedEof` at end of file.
#[derive(Debug)]
pub(crate) struct EofErrorStream(TcpStream);

impl AsyncRead for EofErrorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, remaining) = (buf.filled().len(), buf.remaining());
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if remaining > 0 && buf.filled().len() == filled {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EofErrorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for EofErrorStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
