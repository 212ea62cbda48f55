#pragma once

#include <monsoonward/control/control.h>

#include <memory>

namespace monsoonward
{

/// @brief What a node needs of the control package, on the control thread; see ControlNode.
class ControlPart
{
public:
    virtual ~ControlPart() = default;
    virtual void peerUp(const Peer &peer, HostRole role) = 0;
    virtual void peerDown(const Peer &peer) = 0;
    virtual void message(const Peer &from, const Message &message) = 0;
    virtual void handle(const OperatorRequest &request, ControlNode::ReplyCallback done) = 0;
    virtual void tick() = 0;
    virtual std::string dump() const = 0;
};

/// @return the part that runs a ControlNode
std::unique_ptr<ControlPart> makeControlPart(std::unique_ptr<ControlNode> node);

} // namespace monsoonward
