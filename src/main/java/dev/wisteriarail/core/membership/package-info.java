/** Membership: which nodes exist, and which of them are live, leaving or closed. */
package dev.wisteriarail.core.membership;
