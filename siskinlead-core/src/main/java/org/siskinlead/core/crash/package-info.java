/**
 * Attributes crashes of targets to what the requests that ran there have in common, such as a part of their prompts, from
 * the reports of all daemons together. Must never block what has been shown to run on a target that lives.
 */
@NullMarked
package org.siskinlead.core.crash;

import org.jspecify.annotations.NullMarked;
