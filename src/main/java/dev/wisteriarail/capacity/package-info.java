/**
 * Measures the control overhead of a node and how it grows with the numbers of nodes, runners and
 * models and with the rates of requests and configuration changes.
 */
package dev.wisteriarail.capacity;
