/** Small stand-ins of the systems that a deployment provides, with faults on demand. */
package dev.wisteriarail.standin;
