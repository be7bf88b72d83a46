//! Generated inputs for decoders of untrusted bytes.

use rand::{Rng, RngCore, SeedableRng, rngs::SmallRng};

const SEED: u64 = 8;

/// Upper bound of the length of a random input, in bytes.
const MAX_RANDOM_BYTES: usize = 512;

/// Maximum number of mutations of one sample.
const MAX_MUTATIONS: usize = 6;

/// Delimiters and boundary values that decoders treat specially.
const TOKENS: [&[u8]; 14] = [
    b"\"",
    b"{",
    b"[",
    b"]}",
    b":",
    b",",
    b"\n\n",
    b"\r\n",
    b"\0",
    b"-1",
    b"18446744073709551615",
    b"1e999",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    "\u{1f980}".as_bytes(),
];

/// Infinite iterator over mutated samples and random bytes.
pub struct FuzzInputs {
    samples: Vec<Vec<u8>>,
    rng: SmallRng,
}

impl FuzzInputs {
    /// Creates a generator that mutates `samples`; the same samples give the same inputs.
    pub fn new(samples: Vec<Vec<u8>>) -> FuzzInputs {
        FuzzInputs { samples, rng: SmallRng::seed_from_u64(SEED) }
    }

    fn generate(&mut self) -> Vec<u8> {
        if self.samples.is_empty() || self.rng.random_ratio(1, 8) {
            return self.random_bytes();
        }
        let i = self.rng.random_range(0..self.samples.len());
        let mut input = self.samples[i].clone();
        for _ in 0..self.rng.random_range(0..=MAX_MUTATIONS) {
            self.mutate(&mut input);
        }
        input
    }

    fn random_bytes(&mut self) -> Vec<u8> {
        let mut bytes = vec![0; self.rng.random_range(0..MAX_RANDOM_BYTES)];
        self.rng.fill_bytes(&mut bytes);
        bytes
    }

    fn mutate(&mut self, input: &mut Vec<u8>) {
        let at = self.rng.random_range(0..=input.len());
        let end = (at + self.rng.random_range(0..16)).min(input.len());
        match self.rng.random_range(0..6) {
            0 if at < input.len() => input[at] ^= 1 << self.rng.random_range(0..8),
            1 if at < input.len() => input[at] = self.rng.random(),
            2 => input.truncate(at),
            3 => drop(input.drain(at..end)),
            4 => {
                let copied = input[at..end].to_vec();
                input.splice(at..at, copied);
            }
            _ => {
                let token = TOKENS[self.rng.random_range(0..TOKENS.len())];
                input.splice(at..at, token.iter().copied());
            }
        }
    }
}

impl Iterator for FuzzInputs {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        Some(self.generate())
    }
}
