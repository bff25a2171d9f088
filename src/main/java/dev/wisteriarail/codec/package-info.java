/** Encoding of records as JSON and MessagePack. */
package dev.wisteriarail.codec;
