//! Durations and sizes with units.

use std::time::Duration;

use lycheelatch_prelude::InvalidValue;

const DURATION_UNITS_MS: [(&str, u64); 4] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

const SIZE_UNITS_BYTES: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];

/// Parses a duration such as `250ms`, `3s`, `5m` or `1h`.
///
/// `field` is the name of the field in an error.
pub fn parse_duration(field: &str, text: &str) -> Result<Duration, InvalidValue> {
    let reason = "must be an integer with a unit: ms, s, m or h";
    parse_unit(text, &DURATION_UNITS_MS)
        .map(Duration::from_millis)
        .ok_or_else(|| InvalidValue::new(field, text, reason))
}

/// Parses a size such as `512B`, `64KiB` or `1MiB` and returns it in bytes.
///
/// `field` is the name of the field in an error.
pub fn parse_size(field: &str, text: &str) -> Result<u64, InvalidValue> {
    let reason = "must be an integer with a unit: B, KiB, MiB or GiB";
    parse_unit(text, &SIZE_UNITS_BYTES).ok_or_else(|| InvalidValue::new(field, text, reason))
}

fn parse_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (digits, factor) =
        units.iter().find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)))?;
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    digits.parse::<u64>().ok()?.checked_mul(factor)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_duration_each_unit() {
        assert_eq!(parse_duration("f", "250ms").unwrap(), Duration::from_millis(250));
        assert_eq!(parse_duration("f", "3s").unwrap(), Duration::from_secs(3));
        assert_eq!(parse_duration("f", "5m").unwrap(), Duration::from_secs(300));
        assert_eq!(parse_duration("f", "1h").unwrap(), Duration::from_secs(3600));
    }

    #[test]
    fn parse_duration_error_names_field_and_value() {
        for text in ["", "3", "s", "-3s", "3 s", "3d", "99999999999999999999s"] {
            let err = parse_duration("stop.notice", text).unwrap_err();
            assert_eq!((err.field.as_str(), err.value.as_str()), ("stop.notice", text));
        }
    }

    #[test]
    fn parse_size_each_unit() {
        assert_eq!(parse_size("f", "7B").unwrap(), 7);
        assert_eq!(parse_size("f", "2KiB").unwrap(), 2048);
        assert_eq!(parse_size("f", "1MiB").unwrap(), 1 << 20);
        assert!(parse_size("f", "1MB").is_err());
    }
}
