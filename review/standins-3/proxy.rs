//! Proxy in front of the store whose open connections can go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Passes bytes on between its callers and one target.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            silences: Arc::default(),
        };
        let served = proxy.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(callee) = TcpStream::connect(target) else {
                    continue;
                };
                let _set = (caller.set_nodelay(true), callee.set_nodelay(true));
                let opened_at = served.silences.load(Ordering::Relaxed);
                let back = (callee.try_clone().unwrap(), caller.try_clone().unwrap());
                served.pass_on(opened_at, caller, callee);
                served.pass_on(opened_at, back.0, back.1);
            }
        });
        proxy
    }

    /// Makes all open connections silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    fn pass_on(&self, opened_at: usize, mut from: TcpStream, mut to: TcpStream) {
        let silences = Arc::clone(&self.silences);
        std::thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            while let Ok(n) = from.read(&mut buf) {
                let is_silent = silences.load(Ordering::Relaxed) > opened_at;
                if n == 0 || (!is_silent && to.write_all(&buf[..n]).is_err()) {
                    break;
                }
            }
            let is_silent = silences.load(Ordering::Relaxed) > opened_at;
            if !is_silent {
                let _closed = to.shutdown(Shutdown::Write);
            }
        });
    }
}
