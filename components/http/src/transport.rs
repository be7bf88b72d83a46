//! Connections on which an early end is a failure.
//!
//! The HTTP client takes an answer for whole when its connection is closed in
//! the middle of the body. An answer that is whole ends by its length or its
//! last chunk, before the connection does; so the end of the connection, when
//! somebody still reads, is turned into an error. An answer that is delimited
//! by the end of its connection alone can't be told from a broken one and is
//! taken for broken.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, Resolver};
use actix_web::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Returns a connector whose connections report an early end.
pub(crate) fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, WholeStream>, Error = ConnectError> + Clone
{
    let tcp = Connector::new(Resolver::default()).service();
    tcp.map(|connection: Connection<Uri, TcpStream>| {
        let (io, uri) = connection.into_parts();
        Connection::new(uri, WholeStream(io))
    })
}

/// A connection whose end is an error.
#[derive(Debug)]
pub(crate) struct WholeStream(TcpStream);

impl AsyncRead for WholeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining());
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if room > 0 && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WholeStream {
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

impl ActixStream for WholeStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
