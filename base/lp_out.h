/** Writing to a descriptor that someone else reads, without ever waiting. */
#ifndef LP_OUT_H
#define LP_OUT_H

#include <stddef.h>

/**
 * Write what can be taken at once. Returns the bytes written; fewer than
 * `size` when the reader does not keep up or is gone.
 */
size_t lp_out_write(int fd, const char *bytes, size_t size);

#endif
