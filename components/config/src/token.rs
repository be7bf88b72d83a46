//! Salted hashes of bearer tokens.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD};
use lycheelatch_prelude::InvalidValue;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a salt, in bytes.
const SALT_BYTES: usize = 16;

/// Length of a hash, in bytes.
const HASH_BYTES: usize = 32;

/// Salted hash of a bearer token, formatted as `salt.hash`, both in base64.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash {
    salt: [u8; SALT_BYTES],
    hash: [u8; HASH_BYTES],
}

impl TokenHash {
    /// Hashes `token` with a new salt.
    pub fn new(token: &str) -> TokenHash {
        let salt = rand::random();
        TokenHash { salt, hash: digest(&salt, token) }
    }

    /// Returns a short id that identifies the hash and is safe to show: it does not help to guess
    /// the token.
    pub fn id(&self) -> TokenId {
        let [a, b, c, d, ..] = self.hash;
        TokenId(u32::from_be_bytes([a, b, c, d]))
    }

    /// Returns whether `token` has this hash; compares in constant time.
    pub fn matches(&self, token: &str) -> bool {
        digest(&self.salt, token).ct_eq(&self.hash).into()
    }
}

/// Short id of a token's hash, formatted as eight hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenId(u32);

impl fmt::Display for TokenId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl From<TokenId> for String {
    fn from(id: TokenId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for TokenId {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<TokenId, InvalidValue> {
        let is_id = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u32::from_str_radix(&text, 16).ok().filter(|_| is_id);
        // The text may be a token pasted by mistake, so the error must not include it.
        let invalid = || InvalidValue::new("token id", "(hidden)", "must be 8 hexadecimal digits");
        id.map(TokenId).ok_or_else(invalid)
    }
}

fn digest(salt: &[u8], token: &str) -> [u8; HASH_BYTES] {
    Sha256::new().chain_update(salt).chain_update(token).finalize().into()
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash(..)")
    }
}

impl From<TokenHash> for String {
    fn from(token: TokenHash) -> String {
        let salt = STANDARD_NO_PAD.encode(token.salt);
        let hash = STANDARD_NO_PAD.encode(token.hash);
        format!("{salt}.{hash}")
    }
}

impl TryFrom<String> for TokenHash {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<TokenHash, InvalidValue> {
        // The text may be a token pasted by mistake, so the error must not include it.
        let invalid = || InvalidValue::new("token", "(hidden)", "must have the form salt.hash");
        let (salt, hash) = text.split_once('.').ok_or_else(invalid)?;
        let salt = STANDARD_NO_PAD.decode(salt).map_err(|_| invalid())?;
        let hash = STANDARD_NO_PAD.decode(hash).map_err(|_| invalid())?;
        Ok(TokenHash {
            salt: salt.try_into().map_err(|_| invalid())?,
            hash: hash.try_into().map_err(|_| invalid())?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn matches_only_hashed_token() {
        let token = TokenHash::new("rush-and-reed");
        assert!(token.matches("rush-and-reed"));
        assert!(!token.matches("rush-and-reeds"));
    }

    #[test]
    fn try_from_formatted_hash() {
        let token = TokenHash::new("rush-and-reed");
        let text = String::from(token.clone());
        assert_eq!(TokenHash::try_from(text).unwrap(), token);
    }

    #[test]
    fn try_from_invalid_hash_error_hides_value() {
        let err = TokenHash::try_from("secret".to_owned()).unwrap_err();
        assert!(!err.to_string().contains("secret"));
    }
}
