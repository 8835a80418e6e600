//! A hash that is the same in every build and process, for values that processes compare through shared
//! files.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Terminates each text; this byte occurs in no UTF-8 text.
const SEPARATOR: u8 = 0xff;

/// The 64-bit FNV-1a hash of a sequence of texts. The boundaries of the texts are hashed too: `["ab"]` and
/// `["a", "b"]` differ.
#[must_use]
pub fn fingerprint<'a>(texts: impl IntoIterator<Item = &'a str>) -> u64 {
    let bytes = texts.into_iter().flat_map(|text| text.bytes().chain([SEPARATOR]));
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
