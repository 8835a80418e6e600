//! A world of sources, relays and subscribers in virtual time, over links that lose, repeat, reorder and delay, and a
//! watcher that judges from outside: by what the sources hold and by what each subscriber said came into force.

mod convergence;
mod faults;
mod link;
mod parties;
mod watcher;
