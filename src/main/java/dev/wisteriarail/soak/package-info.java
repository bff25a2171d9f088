/**
 * Randomized soak tests of real processes. Gateway nodes run in separate processes against a
 * stand-in for the platform, faults are injected from outside, and promises are checked from the
 * observations of callers and runners.
 */
package dev.wisteriarail.soak;
