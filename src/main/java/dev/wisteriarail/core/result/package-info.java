/** Numbered result codes, and the exceptions that contain them. */
package dev.wisteriarail.core.result;
