//! Memory that is kept for clients: every amount is taken from one budget and returned on drop.

use std::{cell::RefCell, net::IpAddr, rc::Rc};

use lycheelatch_policy::{MemoryBudget, NoRoom};
use prometheus::IntGauge;

/// Budget of the memory that a node keeps for its clients.
#[derive(Clone)]
pub(crate) struct ClientMemory {
    budget: Rc<RefCell<MemoryBudget>>,
    gauge: IntGauge,
}

impl ClientMemory {
    /// Creates a budget of `total` bytes whose use `gauge` shows.
    pub(crate) fn new(total: usize, gauge: IntGauge) -> ClientMemory {
        ClientMemory { budget: Rc::new(RefCell::new(MemoryBudget::new(total))), gauge }
    }

    /// Returns whether the budget is short; see [`MemoryBudget::is_short`].
    pub(crate) fn is_short(&self) -> bool {
        self.budget.borrow().is_short()
    }

    /// Returns an amount of 0 bytes for a client.
    pub(crate) fn hold(&self, client: IpAddr) -> HeldMemory {
        HeldMemory { memory: self.clone(), client, bytes: 0 }
    }

    fn show(&self) {
        self.gauge.set(i64::try_from(self.budget.borrow().used()).unwrap_or(i64::MAX));
    }
}

/// An amount of a client's memory, returned to the budget on drop.
pub(crate) struct HeldMemory {
    memory: ClientMemory,
    client: IpAddr,
    bytes: usize,
}

impl HeldMemory {
    /// Returns the size of the amount, in bytes.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the amount to `bytes`, if the budget has room.
    pub(crate) fn try_resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        self.memory.budget.borrow_mut().try_resize(self.client, self.bytes, bytes)?;
        self.set(bytes);
        Ok(())
    }

    /// Changes the amount to `bytes` whether the budget has room or not.
    pub(crate) fn resize(&mut self, bytes: usize) {
        self.memory.budget.borrow_mut().resize(self.client, self.bytes, bytes);
        self.set(bytes);
    }

    fn set(&mut self, bytes: usize) {
        self.bytes = bytes;
        self.memory.show();
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.resize(0);
    }
}
