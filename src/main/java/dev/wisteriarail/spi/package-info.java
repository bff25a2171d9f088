/**
 * Interfaces through which a node reaches the platform, the engines, its peers and its callers.
 * Other packages implement them.
 */
package dev.wisteriarail.spi;
