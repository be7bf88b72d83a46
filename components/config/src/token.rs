//! Bearer tokens, kept as salted hashes.

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

/// Salted hash of a bearer token, written `salt.hash` in base64.
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

    /// Returns whether `token` is the hashed one, in constant time.
    pub fn matches(&self, token: &str) -> bool {
        digest(&self.salt, token).ct_eq(&self.hash).into()
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
        // The text may be a token that was pasted by mistake: never repeat it.
        let bad = || InvalidValue::new("token", "(hidden)", "must have the form salt.hash");
        let (salt, hash) = text.split_once('.').ok_or_else(bad)?;
        let salt = STANDARD_NO_PAD.decode(salt).map_err(|_| bad())?;
        let hash = STANDARD_NO_PAD.decode(hash).map_err(|_| bad())?;
        Ok(TokenHash {
            salt: salt.try_into().map_err(|_| bad())?,
            hash: hash.try_into().map_err(|_| bad())?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn matches_only_its_token() {
        let token = TokenHash::new("rush-and-reed");
        assert!(token.matches("rush-and-reed"));
        assert!(!token.matches("rush-and-reeds"));
    }

    #[test]
    fn try_from_written_form() {
        let token = TokenHash::new("rush-and-reed");
        let text = String::from(token.clone());
        assert_eq!(TokenHash::try_from(text).unwrap(), token);
    }

    #[test]
    fn try_from_pasted_token_is_not_repeated() {
        let err = TokenHash::try_from("secret".to_owned()).unwrap_err();
        assert!(!err.to_string().contains("secret"));
    }
}
