/**
 * Replays recorded traces in virtual time with the cores of real nodes, against small fakes of the
 * log, the engines, the weight store and the VM list. Also generates traces from seeds.
 */
package dev.wisteriarail.replay;
