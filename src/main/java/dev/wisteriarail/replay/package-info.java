/**
 * Replays recorded traces in virtual time through the cores that nodes run, against small fakes of
 * the log, the engines, the weight store and the VM list; generates traces with seeds.
 */
package dev.wisteriarail.replay;
