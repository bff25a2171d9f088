/** Numbered result codes and the exception family that carries them. */
package dev.wisteriarail.core.result;
