//! Division of a limited amount of memory between the clients that have something kept.

use std::{collections::HashMap, net::IpAddr};

/// Amount up to which a client's request counts as small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;

/// Share of the budget that large amounts may take; the rest is left for small ones.
const LARGE_SHARE: f64 = 0.75;

/// Share of the budget that large amounts of one client address may take.
///
/// It is large because many clients may share the address of a load balancer.
const ADDRESS_LARGE_SHARE: f64 = 0.5;

/// Share of the budget that one client address may take; the rest is left for the others.
const ADDRESS_SHARE: f64 = 0.9;

/// The budget has no room for an amount.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// Large amounts have taken their share, or all of the budget is taken.
    Budget,
    /// The client address has taken its share.
    Address,
}

/// Memory kept for clients, in bytes, and the bounds on it.
///
/// An amount that is alone is admitted up to the whole budget, so that a request within the limits
/// of the configuration is served when there is no load.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    used: usize,
    large: usize,
    addresses: HashMap<IpAddr, AddressUse>,
}

/// Memory kept for the clients of one address, in bytes.
#[derive(Debug, Clone, Copy, Default)]
struct AddressUse {
    used: usize,
    large: usize,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> MemoryBudget {
        MemoryBudget { total, used: 0, large: 0, addresses: HashMap::new() }
    }

    /// Returns the bytes that are taken.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether more is taken than half of the share of large amounts.
    pub fn is_short(&self) -> bool {
        self.used * 2 > share(self.total, LARGE_SHARE)
    }

    /// Changes an amount from `held` to `wanted` bytes, if there is room.
    pub fn try_resize(
        &mut self,
        address: IpAddr,
        held: usize,
        wanted: usize,
    ) -> Result<(), NoRoom> {
        if wanted > held {
            self.check_room(address, held, wanted)?;
        }
        self.resize(address, held, wanted);
        Ok(())
    }

    /// Changes an amount from `held` to `wanted` bytes whether there is room or not.
    pub fn resize(&mut self, address: IpAddr, held: usize, wanted: usize) {
        self.used = self.used - held + wanted;
        self.large = self.large - large_part(held) + large_part(wanted);
        let of_address = self.addresses.entry(address).or_default();
        of_address.used = of_address.used - held + wanted;
        of_address.large = of_address.large - large_part(held) + large_part(wanted);
        if of_address.used == 0 {
            self.addresses.remove(&address);
        }
    }

    fn check_room(&self, address: IpAddr, held: usize, wanted: usize) -> Result<(), NoRoom> {
        let others = self.used - held;
        if others + wanted > self.total {
            return Err(NoRoom::Budget);
        }
        let is_alone = others == 0;
        if is_alone {
            return Ok(());
        }
        let of_address = self.addresses.get(&address).copied().unwrap_or_default();
        if of_address.used - held + wanted > share(self.total, ADDRESS_SHARE) {
            return Err(NoRoom::Address);
        }
        if large_part(wanted) == 0 {
            return Ok(());
        }
        let added = large_part(wanted) - large_part(held);
        if self.large + added > share(self.total, LARGE_SHARE) {
            return Err(NoRoom::Budget);
        }
        if of_address.large + added > share(self.total, ADDRESS_LARGE_SHARE) {
            return Err(NoRoom::Address);
        }
        Ok(())
    }
}

/// Returns an amount if it is a large one, otherwise 0.
fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}

fn share(total: usize, share: f64) -> usize {
    (total as f64 * share) as usize
}
