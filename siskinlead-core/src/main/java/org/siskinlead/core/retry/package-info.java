/**
 * Retry budgets and protection against completions that crash their targets. {@link org.siskinlead.core.crash} protects
 * against forwarded requests.
 */
@NullMarked
package org.siskinlead.core.retry;

import org.jspecify.annotations.NullMarked;
