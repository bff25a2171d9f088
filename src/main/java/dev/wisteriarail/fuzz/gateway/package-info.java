/**
 * Fuzzing of a fleet of gateway cores against fakes of the platform's store and runners, in virtual
 * time. The same seed gives the same run.
 */
package dev.wisteriarail.fuzz.gateway;
