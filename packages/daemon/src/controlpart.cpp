#include "controlpart.h"

namespace monsoonward
{

namespace
{

class ControlNodePart : public ControlPart
{
public:
    explicit ControlNodePart(std::unique_ptr<ControlNode> node)
        : m_node(std::move(node))
    {
    }
    void peerUp(const Peer &peer, HostRole role) override
    {
        m_node->peerUp(peer, role);
    }
    void peerDown(const Peer &peer) override
    {
        m_node->peerDown(peer);
    }
    void message(const Peer &from, const Message &message) override
    {
        m_node->message(from, message);
    }
    void handle(const OperatorRequest &request, ControlNode::ReplyCallback done) override
    {
        m_node->handle(request, std::move(done));
    }
    void tick() override
    {
        m_node->tick();
    }
    std::string dump() const override
    {
        return m_node->dump();
    }

private:
    std::unique_ptr<ControlNode> m_node;
};

} // namespace

std::unique_ptr<ControlPart> makeControlPart(std::unique_ptr<ControlNode> node)
{
    return std::make_unique<ControlNodePart>(std::move(node));
}

} // namespace monsoonward
