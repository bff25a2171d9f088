/** JSON and MessagePack forms of the typed records. */
package dev.wisteriarail.codec;
