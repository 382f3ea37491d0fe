//! Options of sockets, and connections from a source address.

use std::io;
use std::net;
use std::time;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the operating system closes a connection. It also
/// decides when probes of a quiet connection give up, whatever their number.
const ACK_TIMEOUT: time::Duration = time::Duration::from_millis(2500);
/// The same for callers, which may be out of reach for some seconds and have no other connection on
/// which their answer could come.
const CALLER_ACK_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Sets the options of a socket so that its connection fails soon after the peer disappears.
///
/// # Errors
///
/// When the system rejects an option.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    bound_silence(stream, ACK_TIMEOUT)
}

/// Closes a connection whose other side acknowledges nothing for `timeout`.
fn bound_silence(stream: &TcpStream, timeout: time::Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(time::Duration::from_secs(1))
        .with_interval(time::Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Bytes of answers that the system takes for a caller before they are sent. Without this bound it
/// takes megabytes, and accepts more only once a large part of them was read, so that a caller that
/// reads slowly could not be told from one that does not read.
const MAX_UNSENT: u32 = 64 << 10;

/// Sets the options of a connection of a caller.
///
/// # Errors
///
/// When the system refuses one.
pub fn configure_caller(stream: &TcpStream) -> io::Result<()> {
    bound_silence(stream, CALLER_ACK_TIMEOUT)?;
    // Not every system has this option. Without it, slow callers are closed sooner under pressure.
    if let Err(err) = socket2::SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT) {
        log::debug!(target: "front", err = err.to_string().as_str(); "unsent bytes not bounded");
    }
    Ok(())
}

/// Connects to an address from a source address, if one is set.
///
/// # Errors
///
/// When the connection cannot be established.
pub async fn connect_from(
    source: Option<net::IpAddr>,
    address: net::SocketAddr,
) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(net::SocketAddr::new(source, 0))?;
    socket.connect(address).await
}
