/**
 * What a node needs of the platform, the engines and its peers. Implementations stand elsewhere.
 */
package dev.wisteriarail.spi;
