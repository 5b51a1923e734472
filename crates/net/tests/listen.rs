//! Listen addresses that are not free.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use net::listen::Error;
use net::Listener;
use net::Listeners;
use rustix::io::Errno;

const FIELD: &str = "callers.listen";

fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Binds with `errno` as the result until `free` is true.
async fn bind(
    listeners: &Listeners,
    errno: Errno,
    free: &Arc<AtomicBool>,
) -> Result<Listener<()>, Error> {
    let free = free.clone();
    let result = move |_| -> net::BoxFuture<'static, io::Result<()>> {
        let free = free.load(Ordering::SeqCst);
        Box::pin(async move {
            if free {
                Ok(())
            } else {
                Err(errno.into())
            }
        })
    };
    listeners.bind(FIELD, any_address(), result).await
}

#[test]
fn bind_free_address_is_bound_at_once() {
    let listeners = Listeners::default();
    let listener = smol::block_on(listeners.tcp(FIELD, any_address())).unwrap();
    assert_ne!(listener.local_address().unwrap().port(), 0);
    assert_eq!(listeners.waiting_count(), 0);
}

#[test]
fn bind_error_that_may_pass_is_tried_again() {
    for errno in [
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ] {
        let (listeners, free) = (Listeners::default(), Arc::default());
        let listener = smol::block_on(bind(&listeners, errno, &free)).unwrap();
        assert_eq!(listeners.waiting_count(), 1, "{errno}");
        assert_eq!(listeners.waiting_address(FIELD), Some(any_address()));
        assert_eq!(listeners.waiting_address("admin.listen"), None);
        free.store(true, Ordering::SeqCst);
        let bound = smol::block_on(net::timeout(Duration::from_secs(10), listener.bound()));
        assert!(bound.is_some(), "{errno}");
        assert_eq!(listeners.waiting_count(), 0);
    }
}

#[test]
fn bind_error_that_cannot_pass_is_returned() {
    for errno in [Errno::ACCESS, Errno::PERM, Errno::AFNOSUPPORT] {
        let (listeners, free) = (Listeners::default(), Arc::default());
        let error = smol::block_on(bind(&listeners, errno, &free))
            .err()
            .unwrap();
        assert_eq!(
            error.to_string(),
            "cannot listen on 127.0.0.1:0 (callers.listen); free the port or choose another"
        );
        assert_eq!(listeners.waiting_count(), 0);
    }
}

#[test]
fn bind_that_is_dropped_waits_no_longer() {
    let (listeners, free) = (Listeners::default(), Arc::default());
    let listener = smol::block_on(bind(&listeners, Errno::ADDRINUSE, &free)).unwrap();
    let mut bound = pin!(listener.bound());
    let mut context = Context::from_waker(Waker::noop());
    assert!(bound.as_mut().poll(&mut context).is_pending());
    assert_eq!(listeners.waiting_count(), 1);
    let other = smol::block_on(bind(&listeners, Errno::ADDRINUSE, &free)).unwrap();
    assert_eq!(listeners.waiting_count(), 2);
    drop(other);
    assert_eq!(listeners.waiting_count(), 1);
}

#[test]
fn tcp_address_in_use_is_listened_on_once_it_is_free() {
    let holder = TcpListener::bind(any_address()).unwrap();
    let address = holder.local_addr().unwrap();
    let listeners = Listeners::default();
    let listener = smol::block_on(listeners.tcp(FIELD, address)).unwrap();
    assert_eq!(listener.local_address(), None);
    drop(holder);
    let bound = net::timeout(Duration::from_secs(10), listener.bound());
    let bound = smol::block_on(bound).expect("the address is free");
    assert_eq!(bound.local_addr().unwrap(), address);
}
