//! Conversion of estimates to whole numbers.

/// Rounds an estimate down to a whole number; values out of range become the nearest one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub(super) fn to_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
