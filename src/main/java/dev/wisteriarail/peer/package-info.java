/** Messages between nodes: TCP frames with MessagePack. */
package dev.wisteriarail.peer;
