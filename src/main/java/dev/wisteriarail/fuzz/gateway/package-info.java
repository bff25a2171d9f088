/**
 * Fuzzing of a fleet of gateway cores against fakes of the platform's store and runners, in virtual
 * time. Runs are deterministic: equal seeds give equal runs.
 */
package dev.wisteriarail.fuzz.gateway;
