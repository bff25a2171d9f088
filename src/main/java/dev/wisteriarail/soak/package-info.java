/**
 * A randomized soak of real processes: gateway nodes run as processes of their own before a
 * stand-in of the platform, faults come from outside them, and promises are checked from what
 * callers and runners see.
 */
package dev.wisteriarail.soak;
