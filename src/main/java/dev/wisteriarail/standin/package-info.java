/** Small stand-ins for the systems that a deployment provides, with injectable faults. */
package dev.wisteriarail.standin;
