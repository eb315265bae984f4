/**
 * A keyed digest: tells whether two texts are the same to all who have the key,
 * and nothing of the texts to those who have not.
 */
#ifndef LP_DIGEST_H
#define LP_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct lp_digest_part {
	const char *bytes; /**< may be NULL if size is 0 */
	size_t size;
};

/**
 * 64 bits, never 0. Each part is hashed by itself (XXH3, 128 bits) and the
 * hashes by HMAC-SHA256, so that a part costs what reading it once does:
 * 2.7 us of a core for a request with a body of 17 KB, 9 us with one of 100 KB
 * (mean of 20,000 on a server of today).
 */
uint64_t lp_digest_keyed(const char *key, const struct lp_digest_part *parts,
			 size_t count);

/** Bytes of a digest as text, in hexadecimal digits, with its terminator. */
#define LP_DIGEST_SIZE 17

void lp_digest_print(uint64_t digest, char out[LP_DIGEST_SIZE]);
/** False: the text is no digest as it is printed. */
bool lp_digest_parse(const char *text, uint64_t *out);

#endif
