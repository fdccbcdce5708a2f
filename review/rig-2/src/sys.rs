//! The few calls of the C library that the standard library does not offer.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Sends a signal to a process that the caller has started.
pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Connects with segments of an Ethernet link and a small receive buffer, so that a peer that does not read blocks the
/// writer, as it does on the users' links.
pub fn connect_small(address: SocketAddr, receive_buffer: i32) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(std::io::Error::other("IPv4 only"));
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment: i32 = 1_400;
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, 4);
        let name = SockAddrIn {
            family: AF_INET as u16,
            port: address.port().to_be(),
            address: u32::from_ne_bytes(address.ip().octets()),
            zero: [0; 8],
        };
        if connect(stream.as_raw_fd(), &name, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}
