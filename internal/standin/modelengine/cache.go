package modelengine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockCache is a least-recently-used cache of prefix blocks. The key of a block is
// the hash of the prompt up to its end.
type blockCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns the tokens of a prompt, the tokens of its cached prefix and the
// number of blocks that were not cached. It then caches all blocks.
func (c *blockCache) lookup(prompt string) (tokens, cached, missed int) {
	chain := xxhash.New()
	hit := true
	for from := 0; from+defaultBlockBytes <= len(prompt); from += defaultBlockBytes {
		_, _ = chain.WriteString(prompt[from : from+defaultBlockBytes])
		known := c.touch(chain.Sum64())
		hit = hit && known
		if hit {
			cached += defaultBlockBytes / bytesPerToken
		} else {
			missed++
		}
	}
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken, cached, missed
}

// touch marks a block as just used and reports whether it was cached. If not, it
// caches the block and evicts the least recently used one if the cache is full.
func (c *blockCache) touch(block uint64) bool {
	if element, found := c.blocks[block]; found {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
	return false
}
