//! Guards against a change of the pseudo-random sequence of a seed, which would make recorded seeds
//! reproduce nothing.

use bergamotvale_core::random::Source;

/// Reference output of SplitMix64 for seed 0.
const REFERENCE: [u64; 3] = [0xe220_a839_7b1d_cdaf, 0x6e78_9e6a_a1b9_65f4, 0x06c4_5d18_8009_454f];

#[test]
fn a_seed_gives_the_reference_sequence() {
    let mut source = Source::new(0);

    let drawn = REFERENCE.map(|_| source.bits());

    assert_eq!(drawn, REFERENCE);
}
