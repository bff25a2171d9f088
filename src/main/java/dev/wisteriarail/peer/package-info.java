/** Transport of messages between nodes: MessagePack frames over TCP, optionally with TLS. */
package dev.wisteriarail.peer;
