//! Start of the console.

use super::listener::{AddressSharing, open_listener};
use crate::admin_handler::AdminHandler;
use crate::error::ProxyServerError;
use admin::console;
use http_proxy::config::Config;
use http_proxy::log::log;
use std::net::SocketAddr;
use std::rc::Rc;

/// If a console is configured, opens its listener and spawns the tasks that serve it and poll the peers.
/// Returns the listener's actual address.
///
/// # Errors
/// If the listener cannot be opened.
pub(super) async fn open(
    config: &Config,
    admin_handler: Option<&Rc<AdminHandler>>,
) -> Result<Option<SocketAddr>, ProxyServerError> {
    let (Some(address), Some(admin_handler)) = (config.console, admin_handler) else {
        return Ok(None);
    };
    let (listener, address) = open_listener(address, AddressSharing::Exclusive).await?;
    let executor = Rc::clone(admin_handler);
    tokio::task::spawn_local(console::serve(listener, move |command| Rc::clone(&executor).execute(command)));
    tokio::task::spawn_local(Rc::clone(admin_handler).poll_peers());
    log(format_args!("{} answers operators on {address}", config.name));
    Ok(Some(address))
}
