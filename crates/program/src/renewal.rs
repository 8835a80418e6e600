//! At SIGHUP the configuration is read again and takes the place of the present one as a whole, or not at all.

use haventrack_decision::api::{Micros, Settings};
use haventrack_proxy::carrier::Handle;
use haventrack_proxy::classes::Classes as ClientClasses;
use haventrack_proxy::clients::Clients;
use haventrack_proxy::config::{Config, ConfigError};
use haventrack_proxy::log::log;
use haventrack_proxy::names::Names;
use haventrack_settings::renewal::{Classes, RenewalError, longest};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The present configuration, and where another one goes.
pub struct Renewal {
    shape: Value,
    settings: Settings,
    classes: Classes,
    handle: Handle,
    /// The longest that a client waits, of the classes that hold and have held.
    longest: Rc<Cell<Micros>>,
}

impl Renewal {
    /// The configuration that the proxy starts with.
    ///
    /// # Errors
    /// Where its classes can't be told apart.
    pub fn new(
        shape: Value,
        settings: Settings,
        names: &Names,
        handle: Handle,
    ) -> Result<Self, RenewalError> {
        let classes = Classes::new(&names.classes)?;
        let longest = Rc::new(Cell::new(longest(&settings.classes)));
        Ok(Self { shape, settings, classes, handle, longest })
    }

    /// The classes as clients name them.
    #[must_use]
    pub fn client_classes(&self, now: Micros) -> ClientClasses {
        let mut classes = ClientClasses::default();
        classes.hold(now, &self.settings, self.classes.named());
        classes
    }

    /// The longest that a client waits.
    #[must_use]
    pub fn longest(&self) -> Rc<Cell<Micros>> {
        Rc::clone(&self.longest)
    }

    /// Reads the configuration again at each SIGHUP, for as long as the proxy runs. Serving goes on meanwhile; a file that
    /// can't be used changes nothing.
    pub async fn follow(
        mut self,
        mut reload: Signal,
        discovery: watch::Sender<SocketAddr>,
        clients: Rc<Clients>,
    ) {
        while reload.recv().await.is_some() {
            match self.renew(&clients) {
                Ok(address) => {
                    discovery.send_if_modified(|now| std::mem::replace(now, address) != address);
                }
                Err(error) => log(format_args!("kept the old configuration: {error}")),
            }
        }
    }

    /// Everything is read and checked before anything changes; then all of it changes in one step.
    fn renew(&mut self, clients: &Clients) -> Result<SocketAddr, ConfigError> {
        let config = Config::again(&self.shape)?;
        let mut classes = self.classes.clone();
        let settings = classes.renew(&self.settings, &config.settings, &config.names.classes);
        let settings = settings.map_err(ConfigError::Renewal)?;
        self.handle.retune(&settings).map_err(ConfigError::Settings)?;
        clients.classes().borrow_mut().hold(self.handle.clock().now(), &settings, classes.named());
        self.longest.set(longest(&settings.classes));
        if settings != self.settings {
            let names: Vec<_> = classes.named().map(|(_, name)| name).collect();
            let attempts = settings.permissions.max_attempts;
            log(format_args!("settings now: classes {}; {attempts} attempts", names.join(" ")));
        }
        log(format_args!("read the configuration again: discovery is at {}", config.discovery));
        (self.classes, self.settings, self.shape) = (classes, settings, config.shape);
        Ok(config.discovery)
    }
}
