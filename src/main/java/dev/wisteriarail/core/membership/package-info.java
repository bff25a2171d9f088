/** Which nodes exist, which are live, and which are closed. */
package dev.wisteriarail.core.membership;
